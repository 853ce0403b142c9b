// Computes which share of the calls for a model is admitted. Every host computes it from the
// loads and the demand of the whole fleet, which the digests carry, so that no coordinator is
// needed. Both are some hundred milliseconds old: a host decides by shares, never by a free place
// that all other hosts see too.
#pragma once

#include "savoryrelay/coordination/serving/group_choice.h"
#include "savoryrelay/state/serving/call_urgency.h"

#include <vector>

namespace savoryrelay::coordination {

/// What the groups of one model can take, as one host sees it.
struct model_supply {
    /// Open groups, each divided by its slowdown factor and counted for what its head takes.
    double groups = 0;
    double occupancy = 0;      ///< calls in flight over the places of the groups
    double waiting_chunks = 0; ///< prompts that wait at a group, in chunks
    double call_duration_ms{}; ///< of a usual answer in a full batch
};

/// Shares of the calls for one model that are admitted.
struct admission_plan {
    state::urgency_amounts fractions{1, 1, 1, 1}; ///< 0 to 1, by urgency
    double shortage = 1;                          ///< demand over the admitted rate; at least 1
    model_supply supply;
    double demand = 0; ///< of all urgencies, in groups kept busy

    /// Returns whether calls are refused that could still be in time.
    [[nodiscard]] bool is_short() const;
};

/// The occupancy that admission settles below; the rest absorbs the uneven placement of calls by
/// hosts that see late loads.
inline constexpr double target_occupancy = 0.84;
/// Age of the loads when a decision by them takes effect: the intervals of the digests and the
/// time until an admitted call counts.
inline constexpr state::milliseconds load_delay{500};

/// Returns the supply of a model whose open groups are `groups`.
[[nodiscard]] model_supply measure_supply(const state::engine_rule& engine,
                                          const state::model_rule& model,
                                          const std::vector<group_candidate>& groups);

/// Returns the shares of `demand`, which is in groups kept busy, that `supply` can serve.
[[nodiscard]] admission_plan plan_admission(const model_supply& supply,
                                            const state::urgency_amounts& demand);

} // namespace savoryrelay::coordination
