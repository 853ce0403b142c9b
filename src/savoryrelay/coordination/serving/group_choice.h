// Chooses the group that answers a model call first, by the engine's published
// times and the calls in flight.
#pragma once

#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/serving_call.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <functional>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// A group that a call may be sent to.
struct group_candidate {
    state::endpoint_id head;
    double pace = 1;           ///< of the group, above 1 when it is slow
    double crossing_ms = 0;    ///< way to the head and back
    state::endpoint_load load; ///< calls in flight from all hosts
};

/// What a group is expected to do with one more call.
struct group_prediction {
    double first_event_ms = 0; ///< until the call's first event
    double event_gap_ms = 0;   ///< between events of the group's streams with it
};

/// Work of one call for its group, in milliseconds of a busy group.
[[nodiscard]] double call_work_ms(const state::engine_rule& engine, const state::model_rule& model,
                                  const state::serving_call& call);

[[nodiscard]] group_prediction predict(const state::engine_rule& engine,
                                       const state::model_rule& model,
                                       const group_candidate& candidate,
                                       const state::serving_call& call);

/// A chosen group.
struct group_choice {
    state::endpoint_id head;
    group_prediction prediction;
};

/// The candidate with the earliest predicted first event, among those with a
/// place in their batch.
[[nodiscard]] std::optional<group_choice>
choose_group(const state::engine_rule& engine, const state::model_rule& model,
             const std::vector<group_candidate>& candidates, const state::serving_call& call);

using choose_group_hook = std::function<std::optional<group_choice>(
    const state::engine_rule&, const state::model_rule&, const std::vector<group_candidate>&,
    const state::serving_call&)>;

} // namespace savoryrelay::coordination
