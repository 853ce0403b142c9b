// Computes the score of one endpoint for one request. A lower score is better.
// Its unit is the load ratio: requests divided by capacity.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

#include <array>
#include <cstdint>
#include <optional>

namespace savoryrelay::coordination {

/// Priority of a request, lowest first. Engines start queued requests of a
/// higher priority first.
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

/// Weights of the terms of the score. Costs and bonuses are load ratios. "N: off"
/// means that the value N turns the term off.
struct route_weights {
    bool use_load_corrections = true;      ///< false: use only the last report
    double zone_cost = 0.15;               ///< for an endpoint in another availability zone; 0: off
    double prefix_bonus = 0.5;             ///< for a completely cached prefix; 0: off
    double home_bonus = 0.25;              ///< for the endpoint that the prefix hashes to; 0: off
    double prefix_load_limit = 1.25;       ///< bonuses apply up to this multiple of the mean load
    double adapter_cost = 0.3;             ///< for an adapter that must be loaded first; 0: off
    double max_slowdown_factor = 8.0;      ///< cap on the factor for a slow endpoint; 1: off
    unsigned random_choices = 4;           ///< random candidates per decision, >= 1
    state::milliseconds zone_ramp{60'000}; ///< time from a zone's return to its full share
};

/// The state of one endpoint that a routing decision reads.
struct route_row {
    state::endpoint_state state;
    std::uint32_t capacity = 1; ///< concurrent requests when warm, >= 1
    std::uint32_t zone = 0;     ///< index of the availability zone
    bool drained = false;       ///< operators have taken the endpoint out of service
    bool zone_drained = false;  ///< operators have taken its zone out of service
    /// When the zone returned to service. Empty: it has its full share.
    std::optional<state::time_point> zone_returned_at;
    /// Unused permits of this router while the endpoint is cold or warming.
    /// Empty: the caller enforces the allowance itself.
    std::optional<std::uint32_t> cold_permits;
    std::uint64_t adapters = 0; ///< bit i: adapter i of the deployment is loaded
    std::uint64_t version = 0;  ///< digest of the loaded version; 0: not reported
};

/// The properties of one request that a routing decision reads.
struct route_needs {
    std::uint32_t zone = 0;    ///< zone index of the router
    std::uint64_t adapter = 0; ///< bit of the required adapter; 0: none
    std::uint64_t version = 0; ///< digest of the required version; 0: any
    route_priority priority = route_priority::normal;
};

/// Aggregates over a deployment's endpoints, refreshed periodically.
struct route_summary {
    double mean_load = 0;                ///< mean load ratio
    double median_token_interval_ms = 0; ///< 0: not observed
};

/// Returns the fraction of its capacity, from 0 to 1, that an endpoint may use
/// at `now`: 0 while drained, and rising after its zone returns to service.
[[nodiscard]] double zone_share(const route_row& row, const route_weights& weights,
                                state::time_point now);

/// Returns true when the endpoint is eligible for the request.
[[nodiscard]] bool can_accept(const route_row& row, const route_needs& needs,
                              const route_weights& weights, state::time_point now);

/// Returns the estimated number of requests at the endpoint. Queued requests are
/// weighted by the priority of the new request.
[[nodiscard]] double estimated_load(const route_row& row, const route_weights& weights,
                                    route_priority priority);

/// Returns the score of a row that `can_accept` accepts. `prefix_fraction` is the
/// fraction of the prompt's prefix, from 0 to 1, that the endpoint probably
/// caches; `is_home` is true for the endpoint that the prefix hashes to.
[[nodiscard]] double score_of(const route_row& row, const route_needs& needs,
                              const route_summary& summary, const route_weights& weights,
                              state::time_point now, double prefix_fraction, bool is_home);

} // namespace savoryrelay::coordination
