// Decides what the complete answer of an endpoint means for its call: whether the call has run,
// and whether the caller may receive the answer.
#pragma once

#include "savoryrelay/coordination/serving/call_progress.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <array>

namespace savoryrelay::coordination {

/// Why an endpoint's answer must not reach the caller.
enum class answer_defect {
    none,
    unproved_refusal, ///< its status promises that the call did not run, and the endpoint does not
    no_receipt,       ///< it reports success without the endpoint's receipt
    encoded_body,     ///< it reports success, and its body is not the one that the endpoint made
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::answer_defect> {
    using d = savoryrelay::coordination::answer_defect;
    static constexpr std::array rows{
        enum_name<d>{d::none, "none"},
        enum_name<d>{d::unproved_refusal, "unproved_refusal"},
        enum_name<d>{d::no_receipt, "no_receipt"},
        enum_name<d>{d::encoded_body, "encoded_body"},
    };
};

namespace savoryrelay::coordination {

/// What an endpoint's complete answer means for its attempt.
struct answer_verdict {
    /// `delivered` if the caller receives the answer, `failed` if another endpoint may be tried
    /// before the caller receives it, `not_run`, or `withheld` if the answer has a defect.
    attempt_outcome outcome = attempt_outcome::delivered;
    answer_defect defect = answer_defect::none;
};

/// Judges a complete answer, or a stream's answer of which only the head was read.
[[nodiscard]] answer_verdict judge_answer(const state::answer_head& answer);

} // namespace savoryrelay::coordination
