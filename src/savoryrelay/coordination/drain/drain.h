// Decides the drain and return of endpoints and availability zones, and the
// planned stop of the daemon. No deadline ever ends a request: it only marks
// the drain as overdue for the operators.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/drain/drain_state.h"

#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// Times of drains and stops.
struct drain_settings {
    state::milliseconds ramp{60'000};      ///< growth of a returning share from 0 to 1
    state::milliseconds deadline{600'000}; ///< after it a drain is shown as overdue
    state::milliseconds isolation{4'000};  ///< a member cut off so long takes no new work
    state::milliseconds announce{5'000};   ///< time the balancer needs to see `/readyz` at 503
};

/// One member's view of the drain of an endpoint or of a zone.
struct drain_progress {
    state::drain_state state = state::drain_state::in_service;
    std::uint64_t revision = 0; ///< configuration revision of the last order applied
    state::time_point since{};  ///< when the state was entered
};

/// What a member observes.
struct drain_input {
    std::uint64_t revision = 0;  ///< revision of the configuration it has
    bool drained = false;        ///< the drain flag in that configuration
    std::uint32_t in_flight = 0; ///< requests in flight at the endpoint or in the zone
};

/// The next view. An order of an older revision is ignored, so that an order
/// delayed by a partition cannot undo a newer one.
[[nodiscard]] drain_progress step_drain(const drain_progress& progress, const drain_input& input,
                                        const drain_settings& settings, state::time_point now);

using step_drain_hook = std::function<drain_progress(const drain_progress&, const drain_input&,
                                                     const drain_settings&, state::time_point)>;

/// The share of the full weight for new work, 0 to 1. It is 0 for a member that
/// last had the store or a majority of members longer than `isolation` ago.
[[nodiscard]] double new_work_share(const drain_progress& progress, const drain_settings& settings,
                                    state::time_point last_connected, state::time_point now);

/// True when the drain lasts longer than the deadline, for the operators' view.
[[nodiscard]] bool is_overdue(const drain_progress& progress, const drain_settings& settings,
                              state::time_point now);

/// The planned stop of the daemon.
struct stop_progress {
    state::stop_state state = state::stop_state::running;
    state::time_point since{};
};

/// The next state of the stop. `stopped` is reached only with nothing in flight.
[[nodiscard]] stop_progress step_stop(const stop_progress& progress, bool stop_ordered,
                                      std::uint32_t in_flight, const drain_settings& settings,
                                      state::time_point now);

/// True while the daemon accepts requests. It still accepts while announcing,
/// because the balancer sends until its next health check.
[[nodiscard]] bool accepts_requests(const stop_progress& progress);

} // namespace savoryrelay::coordination
