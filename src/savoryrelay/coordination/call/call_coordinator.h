// Decides what happens to a call: whether it is accepted, where each attempt
// goes, and whether a failed attempt is retried or refused. Front ends decode,
// call this class, and carry out its decisions.
#pragma once

#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/coordination/routing/router.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/endpoint/endpoint_table.h"
#include "savoryrelay/state/metrics/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace savoryrelay::coordination {

/// Behaviour of a call coordinator that varies. Each hook must be set.
struct call_hooks {
    /// Whether this member may take new work now (isolation, shutdown).
    std::function<state::result<void>(state::time_point now)> check_eligibility;
    /// Whether the customer may start this call now (limits, quarantine, record).
    std::function<state::result<void>(const call&, state::time_point now)> admit;
    /// Whether the endpoint may take work now beyond what the router sees, for
    /// example a complete group or a permit of a cold endpoint.
    std::function<bool(const state::endpoint_config&, const state::endpoint_state&,
                       state::time_point now)>
        may_use_endpoint;
    choose_endpoint_hook choose_endpoint;
    /// Called once for each call when it ends.
    std::function<void(const call&, state::execution_outcome, state::time_point now)> finished;
};

/// Settings of the call path.
struct call_settings {
    state::availability_zone_id local_zone;
    std::string id_prefix;          ///< unique to this daemon incarnation
    std::uint32_t max_attempts = 3; ///< of a repeatable call
    state::milliseconds default_deadline{120'000};
    state::milliseconds down_interval{1'000}; ///< a failed endpoint is not tried before
};

/// The decisions of the call path. Its members may be called from any thread;
/// one call is used by one thread at a time.
class call_coordinator {
public:
    call_coordinator(call_settings settings,
                     const state::snapshot_cell<state::configuration>& configuration,
                     state::endpoint_table& endpoints, state::metrics& metrics, call_hooks hooks);

    /// Accepts a request or says why not. A refusal here is always "not run".
    [[nodiscard]] state::result<std::shared_ptr<call>> accept(const call_request& request,
                                                              state::time_point now);

    /// Chooses the endpoint of the next attempt and counts the call there. Each
    /// route must be followed by one call of `attempt_ended`.
    [[nodiscard]] state::result<call_route> next_route(call& accepted, state::time_point now,
                                                       random_source& random);

    /// Records how an attempt ended. Succeeds when the call is to be tried again
    /// (or was completed), and fails with the refusal to send otherwise.
    /// `can_resume` tells that the engine can continue from the next token.
    [[nodiscard]] state::result<void> attempt_ended(call& accepted, const call_route& route,
                                                    attempt_end end, bool can_resume,
                                                    state::time_point now);

    /// Records the end of the call.
    void finish(const call& accepted, state::execution_outcome outcome, state::time_point now);

private:
    [[nodiscard]] bool may_retry(const call& accepted, attempt_end end, bool can_resume,
                                 state::time_point now) const;
    [[nodiscard]] state::failure refusal_of(const call& accepted, attempt_end end) const;

    call_settings m_settings;
    const state::snapshot_cell<state::configuration>& m_configuration;
    state::endpoint_table& m_endpoints;
    call_hooks m_hooks;
    std::atomic<std::uint64_t> m_next_id{1};
    state::counter& m_accepted;
    state::counter& m_refused;
    state::counter& m_retried;
    state::counter& m_completed;
    state::gauge& m_open;
};

} // namespace savoryrelay::coordination
