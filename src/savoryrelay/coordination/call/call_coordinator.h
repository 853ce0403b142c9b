// Coordinates calls: decides whether a call is accepted, which endpoint each
// attempt uses, and whether a failed attempt is retried. Front ends decode
// requests, call this class and carry out its decisions.
#pragma once

#include "savoryrelay/coordination/admission/call_queue.h"
#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/coordination/retry/broken_attempts.h"
#include "savoryrelay/coordination/retry/crash_suspects.h"
#include "savoryrelay/coordination/retry/retry_budget.h"
#include "savoryrelay/coordination/retry/retry_policy.h"
#include "savoryrelay/coordination/retry/silence.h"
#include "savoryrelay/coordination/routing/endpoint_catalog.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace savoryrelay::coordination {

/// Hooks for the variable behaviour of a call coordinator. All must be set.
struct call_hooks {
    /// Fails if this member must not accept new work now, for example because it
    /// is isolated or shutting down.
    std::function<state::result<void>(state::time_point now)> check_eligibility;
    /// Fails if the customer must not start this call now, because of its limits,
    /// a quarantine or an unavailable record.
    std::function<state::result<void>(const call&, state::time_point now)> admit;
    /// Returns whether the endpoint may accept work now. Covers conditions that
    /// the catalog doesn't check, for example whether its group is complete.
    std::function<bool(const state::endpoint_config&, const state::endpoint_state&,
                       state::time_point now)>
        may_use_endpoint;
    /// Called once when a call ends.
    std::function<void(const call&, state::execution_outcome, state::time_point now)> finished;
};

/// Settings of the call path.
struct call_settings {
    std::string id_prefix; ///< unique to this incarnation of the daemon
    state::milliseconds default_deadline{120'000};
    retry_settings retries;
};

/// The components that the call coordinator consults. They must outlive it.
struct call_components {
    endpoint_catalog& catalog;
    call_queue& queue;
    retry_budget& budget;
    crash_suspects& suspects;
    broken_attempts& broken;
};

/// How much of the answer had been relayed when an attempt ended.
struct answer_progress {
    std::uint64_t tokens_relayed = 0; ///< tokens relayed to the caller by all attempts
    bool engine_can_resume = false;   ///< the engine can resume at the next token
};

/// Makes the decisions of the call path. Any thread may call its members, but
/// only one thread at a time may use a given call.
class call_coordinator {
public:
    call_coordinator(call_settings settings,
                     const state::snapshot_cell<state::configuration>& configuration,
                     call_components components, state::metrics& metrics, call_hooks hooks);

    /// Accepts a request or fails with the reason. The outcome of such a failure
    /// is always "not run".
    [[nodiscard]] state::result<std::shared_ptr<call>> accept(const call_request& request,
                                                              state::time_point now);

    /// Queues the call until it may start. Calls `completion` exactly once, either
    /// before returning or later from any thread. The front end must send a failure
    /// that `completion` receives to the caller.
    void wait_for_start(const call& accepted, state::time_point now, start_completion completion);

    /// Chooses the endpoint of the next attempt and counts the attempt in the
    /// catalog. The front end must call `attempt_ended` once for each route.
    [[nodiscard]] state::result<call_route> next_route(call& accepted, state::time_point now,
                                                       random_source& random);

    /// Decides what the call does while the endpoint of `route` is silent for longer than its
    /// limit. Before `hand_over` it reserves an attempt at an endpoint that has not failed the
    /// call, so that the call continues after `attempt_ended` for `route`.
    [[nodiscard]] silence_step handle_silence(call& accepted, const call_route& route,
                                              const answer_progress& progress, bool is_caller_gone,
                                              state::time_point now, random_source& random);

    /// Records how an attempt ended. Succeeds if the call was completed or must be
    /// retried; otherwise fails with the failure to send to the caller.
    [[nodiscard]] state::result<void> attempt_ended(call& accepted, const call_route& route,
                                                    exchange_end end,
                                                    const answer_progress& progress,
                                                    state::time_point now);

    /// Ends the call and its open attempts: frees their capacity, updates the metrics and
    /// calls the hook `finished`. Further calls have no effect.
    void finish(call& accepted, state::execution_outcome outcome, state::time_point now);

private:
    /// Frees what an attempt holds at its endpoint.
    void release_attempt(call& accepted, const call_route& route, bool completed,
                         state::time_point now);
    [[nodiscard]] retry_decision decide_retry_of(const call& accepted, attempt_end end,
                                                 const answer_progress& progress,
                                                 const std::function<bool()>& take_from_budget,
                                                 state::time_point now) const;
    /// Reserves an attempt that follows the silent one at `route`, if the call may have one.
    [[nodiscard]] bool reserve_attempt(call& accepted, const call_route& route,
                                       const answer_progress& progress, state::time_point now,
                                       random_source& random);
    [[nodiscard]] state::result<counted_attempt>
    count_attempt(const call& accepted, const std::vector<state::endpoint_id>& excluded,
                  state::time_point now, random_source& random);

    call_settings m_settings;
    const state::snapshot_cell<state::configuration>& m_configuration;
    call_components m_components;
    call_hooks m_hooks;
    std::atomic<std::uint64_t> m_next_id{1};
    state::counter& m_accepted;
    state::counter& m_refused;
    state::counter& m_retried;
    state::counter& m_completed;
    state::gauge& m_open;
};

} // namespace savoryrelay::coordination
