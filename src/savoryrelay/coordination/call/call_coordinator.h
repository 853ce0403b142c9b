// Decides what happens to a call: whether it is accepted, where each attempt
// goes, and whether a failed attempt is retried or refused. Front ends decode,
// call this class, and carry out its decisions.
#pragma once

#include "savoryrelay/coordination/admission/call_queue.h"
#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/coordination/retry/broken_attempts.h"
#include "savoryrelay/coordination/retry/crash_suspects.h"
#include "savoryrelay/coordination/retry/retry_budget.h"
#include "savoryrelay/coordination/retry/retry_policy.h"
#include "savoryrelay/coordination/routing/endpoint_catalog.h"
#include "savoryrelay/state/core/snapshot_cell.h"
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
    /// Whether the endpoint may take work now beyond what the catalog sees, for
    /// example a complete group.
    std::function<bool(const state::endpoint_config&, const state::endpoint_state&,
                       state::time_point now)>
        may_use_endpoint;
    /// Called once for each call when it ends.
    std::function<void(const call&, state::execution_outcome, state::time_point now)> finished;
};

/// Settings of the call path.
struct call_settings {
    std::string id_prefix; ///< unique to this daemon incarnation
    state::milliseconds default_deadline{120'000};
    retry_settings retries;
};

/// The decisions under load that the call path uses. They outlive it.
struct load_decisions {
    endpoint_catalog& catalog;
    call_queue& queue;
    retry_budget& budget;
    crash_suspects& suspects;
    broken_attempts& broken;
};

/// How far the answer had come when an attempt ended.
struct answer_progress {
    std::uint64_t tokens_passed = 0; ///< to the caller, in all attempts
    bool engine_can_resume = false;  ///< from the next token
};

/// The decisions of the call path. Its members may be called from any thread;
/// one call is used by one thread at a time.
class call_coordinator {
public:
    call_coordinator(call_settings settings,
                     const state::snapshot_cell<state::configuration>& configuration,
                     load_decisions decisions, state::metrics& metrics, call_hooks hooks);

    /// Accepts a request or says why not. A refusal here is always "not run".
    [[nodiscard]] state::result<std::shared_ptr<call>> accept(const call_request& request,
                                                              state::time_point now);

    /// Waits for the call's turn. Calls `completion` once, from this call or
    /// later from any thread; a failure is the refusal to send.
    void wait_for_start(const call& accepted, state::time_point now, start_completion completion);

    /// Chooses the endpoint of the next attempt and counts the call there. Each
    /// route must be followed by one call of `attempt_ended`.
    [[nodiscard]] state::result<call_route> next_route(call& accepted, state::time_point now,
                                                       random_source& random);

    /// Records how an attempt ended. Succeeds when the call is to be tried again
    /// (or was completed), and fails with the refusal to send otherwise.
    [[nodiscard]] state::result<void> attempt_ended(call& accepted, const call_route& route,
                                                    exchange_end end,
                                                    const answer_progress& progress,
                                                    state::time_point now);

    /// Records the end of the call.
    void finish(const call& accepted, state::execution_outcome outcome, state::time_point now);

private:
    [[nodiscard]] state::result<counted_attempt>
    count_attempt(const call& accepted, const std::vector<state::endpoint_id>& excluded,
                  state::time_point now, random_source& random);

    call_settings m_settings;
    const state::snapshot_cell<state::configuration>& m_configuration;
    load_decisions m_decisions;
    call_hooks m_hooks;
    std::atomic<std::uint64_t> m_next_id{1};
    state::counter& m_accepted;
    state::counter& m_refused;
    state::counter& m_retried;
    state::counter& m_completed;
    state::gauge& m_open;
};

} // namespace savoryrelay::coordination
