// Chooses the group that is predicted to answer a model call first, from the
// engine's published times and the calls in flight.
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
    double time_factor = 1;        ///< slowdown factor of the group; above 1 when it is slow
    double zone_round_trip_ms = 0; ///< round trip to the head
    state::endpoint_load load;     ///< calls in flight from all hosts
    /// Share of a group that the calls keep busy which the head takes by the rate that it named.
    double usable_share = 1;
};

/// Predicted times of a group that takes one more call.
struct group_prediction {
    double first_event_ms = 0; ///< until the call's first event
    double event_gap_ms = 0;   ///< between events of each stream in the group
};

/// Returns the work of one call: the milliseconds for which it keeps a group busy.
[[nodiscard]] double call_work_ms(const state::engine_rule& engine, const state::model_rule& model,
                                  const state::serving_call& call);

/// Predicts the times of `call` and of the group's streams if the candidate takes
/// the call.
[[nodiscard]] group_prediction predict(const state::engine_rule& engine,
                                       const state::model_rule& model,
                                       const group_candidate& candidate,
                                       const state::serving_call& call);

/// The chosen group and its predicted times.
struct group_choice {
    state::endpoint_id head;
    group_prediction prediction;
};

/// Returns the candidate with the earliest predicted first event among those whose
/// batch has a free slot, or nothing if all batches are full.
[[nodiscard]] std::optional<group_choice>
choose_group(const state::engine_rule& engine, const state::model_rule& model,
             const std::vector<group_candidate>& candidates, const state::serving_call& call);

using choose_group_hook = std::function<std::optional<group_choice>(
    const state::engine_rule&, const state::model_rule&, const std::vector<group_candidate>&,
    const state::serving_call&)>;

} // namespace savoryrelay::coordination
