// Decides the drain and return of endpoints and availability zones, and the planned
// stop of the daemon. A deadline never ends a request; it only marks a drain as overdue
// for the operators.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/drain/drain_state.h"

#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// Durations and deadlines of drains and stops.
struct drain_settings {
    state::milliseconds ramp{60'000};      ///< time in which a returning share grows from 0 to 1
    state::milliseconds deadline{600'000}; ///< time after which a drain is shown as overdue
    state::milliseconds isolation{4'000};  ///< a member cut off for longer takes no new work
    state::milliseconds announce{5'000}; ///< time until the load balancer sees `/readyz` answer 503
};

/// One member's view of the drain of an endpoint or of a zone.
struct drain_progress {
    state::drain_state state = state::drain_state::in_service;
    std::uint64_t revision = 0; ///< configuration revision whose drain flag was last applied
    state::time_point since{};  ///< time at which the state was entered
};

/// Input of `step_drain`, as one member observes it.
struct drain_input {
    std::uint64_t revision = 0;  ///< revision of the member's configuration
    bool drained = false;        ///< the drain flag in that configuration
    std::uint32_t in_flight = 0; ///< requests in flight at the endpoint or in the zone
};

/// Returns the next state of the drain. The drain flag of an older revision is ignored, so
/// that a configuration delayed by a partition cannot undo a newer one.
[[nodiscard]] drain_progress step_drain(const drain_progress& progress, const drain_input& input,
                                        const drain_settings& settings, state::time_point now);

using step_drain_hook = std::function<drain_progress(const drain_progress&, const drain_input&,
                                                     const drain_settings&, state::time_point)>;

/// Returns the share of its full weight, 0 to 1, with which an endpoint or zone receives new
/// requests. `last_connected` is when the member last reached the store or a majority of members;
/// the share is 0 when that is longer ago than `isolation`.
[[nodiscard]] double new_work_share(const drain_progress& progress, const drain_settings& settings,
                                    state::time_point last_connected, state::time_point now);

/// Returns true when the drain has lasted longer than its deadline, which is shown to operators.
[[nodiscard]] bool is_overdue(const drain_progress& progress, const drain_settings& settings,
                              state::time_point now);

/// The state of the planned stop of the daemon.
struct stop_progress {
    state::stop_state state = state::stop_state::running;
    state::time_point since{};
};

/// Returns the next state of the stop. It reaches `stopped` only with no request in flight.
[[nodiscard]] stop_progress step_stop(const stop_progress& progress, bool stop_requested,
                                      std::uint32_t in_flight, const drain_settings& settings,
                                      state::time_point now);

/// Returns true while the daemon accepts requests. This includes `announcing`, because
/// the balancer sends requests until its next health check.
[[nodiscard]] bool accepts_requests(const stop_progress& progress);

} // namespace savoryrelay::coordination
