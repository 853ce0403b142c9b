// Decides what the complete answer of an endpoint means for its call: whether the call has run,
// and whether the caller may receive the answer.
#pragma once

#include "savoryrelay/coordination/serving/call_progress.h"
#include "savoryrelay/state/serving/serving_call.h"

namespace savoryrelay::coordination {

/// Returns whether an answer with this status tells its caller that the call has not run and
/// never will. Callers then repeat calls that may run only once.
[[nodiscard]] bool promises_not_run(unsigned status);

/// Returns the outcome of an attempt whose endpoint sent the complete answer `answer`: `delivered`
/// if the caller receives it, `failed` if another endpoint may be tried before the caller receives
/// it, `not_run`, or `withheld` if its status makes a promise that the endpoint did not make.
[[nodiscard]] attempt_outcome judge_answer(const state::answer_head& answer);

} // namespace savoryrelay::coordination
