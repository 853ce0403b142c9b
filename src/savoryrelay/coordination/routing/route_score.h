// The score of one endpoint for one request. A lower score is better; its unit
// is the load ratio, where 1 is an endpoint at its capacity.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

#include <array>
#include <cstdint>
#include <optional>

namespace savoryrelay::coordination {

/// Priority of a request. Engines start queued requests in this order.
enum class route_priority { batch, normal, interactive };

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::route_priority> {
    using p = savoryrelay::coordination::route_priority;
    static constexpr std::array rows{
        enum_name<p>{p::batch, "batch"},
        enum_name<p>{p::normal, "normal"},
        enum_name<p>{p::interactive, "interactive"},
    };
};

namespace savoryrelay::coordination {

/// Weights of the score's terms. A term is switched off by the value that its
/// comment names. Costs and bonuses are load ratios.
struct route_weights {
    bool correct_load = true;              ///< false: the last report alone counts
    double zone_cost = 0.15;               ///< for leaving the availability zone; 0: off
    double prefix_bonus = 0.5;             ///< for a completely cached prefix; 0: off
    double home_bonus = 0.25;              ///< for the endpoint that the prefix hashes to; 0: off
    double prefix_load_limit = 1.25;       ///< multiple of the mean load up to which bonuses apply
    double adapter_cost = 0.3;             ///< for an adapter that must be loaded first; 0: off
    double straggler_limit = 8.0;          ///< highest factor of a slow endpoint; 1: off
    unsigned random_choices = 4;           ///< random candidates per decision, >= 1
    state::milliseconds zone_ramp{60'000}; ///< from a zone's return to its full share
};

/// What a decision reads of one endpoint.
struct route_row {
    state::endpoint_state state;
    std::uint32_t capacity = 1; ///< concurrent requests when warm, >= 1
    std::uint32_t zone = 0;     ///< index of the availability zone
    bool drained = false;       ///< operators have taken the endpoint out of service
    bool zone_drained = false;  ///< operators have taken its zone out of service
    /// When the zone returned to service; nothing: its share is full.
    std::optional<state::time_point> zone_returned_at;
    /// Unused permits of this router while the endpoint is cold or warming;
    /// nothing: the caller enforces the allowance itself.
    std::optional<std::uint32_t> cold_permits;
    std::uint64_t adapters = 0; ///< bit i: adapter i of the deployment is loaded
    std::uint64_t version = 0;  ///< digest of the loaded version; 0: not reported
};

/// What a decision reads of one request.
struct route_needs {
    std::uint32_t zone = 0;    ///< index of the deciding member's zone
    std::uint64_t adapter = 0; ///< bit of the adapter; 0: none
    std::uint64_t version = 0; ///< digest of the required version; 0: any
    route_priority priority = route_priority::normal;
};

/// Aggregates over a deployment's endpoints, refreshed by a tick.
struct route_summary {
    double mean_load = 0;                ///< mean load ratio
    double median_token_interval_ms = 0; ///< 0: not observed
};

/// The share of its capacity, from 0 to 1, that the row's zone may use at `now`.
[[nodiscard]] double zone_share(const route_row& row, const route_weights& weights,
                                state::time_point now);

/// True when the endpoint may take the request at all.
[[nodiscard]] bool may_take(const route_row& row, const route_needs& needs,
                            const route_weights& weights, state::time_point now);

/// Requests believed to be at the endpoint, with the queue weighted by the
/// request's priority.
[[nodiscard]] double believed_load(const route_row& row, const route_weights& weights,
                                   route_priority priority);

/// The score of a row that `may_take` accepts. `prefix_part` is the part of the
/// prompt's prefix, from 0 to 1, that the endpoint is believed to hold; `is_home`
/// is true for the endpoint that the prefix hashes to.
[[nodiscard]] double score_of(const route_row& row, const route_needs& needs,
                              const route_summary& summary, const route_weights& weights,
                              state::time_point now, double prefix_part, bool is_home);

} // namespace savoryrelay::coordination
