// Implements acceptance of calls, routing of attempts and retries.
#include "savoryrelay/coordination/call/call_coordinator.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <array>
#include <utility>

namespace savoryrelay::coordination {

using state::failure_kind;

namespace {

bool is_permitted(const state::deployment_config& deployment, const state::customer_id& customer) {
    const auto& allowed = deployment.customers;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), customer) != allowed.end();
}

const state::deployment_config* find_target(const state::configuration& configuration,
                                            const call_request& request) {
    if (!request.model.empty()) {
        return configuration.find_deployment_by_model(request.model);
    }
    const auto* found = configuration.find_deployment(request.service);
    const bool is_service = found != nullptr && found->kind == state::deployment_kind::service;
    return is_service ? found : nullptr;
}

route_priority priority_of(const call& accepted) {
    if (accepted.priority == 0) {
        return route_priority::normal;
    }
    return accepted.priority > 0 ? route_priority::interactive : route_priority::batch;
}

/// Maps the end of an exchange to the end of a failed attempt, or to nothing if
/// the attempt did not fail.
struct exchange_failure {
    exchange_end exchange = exchange_end::completed;
    std::optional<attempt_end> attempt;
    bool may_have_crashed = false; ///< the request may have crashed the endpoint
};
constexpr std::array exchange_failures{
    exchange_failure{exchange_end::completed, std::nullopt, false},
    exchange_failure{exchange_end::not_sent, attempt_end::connect_failed, false},
    exchange_failure{exchange_end::refused, attempt_end::refused_by_endpoint, false},
    exchange_failure{exchange_end::no_answer, attempt_end::no_answer, true},
    exchange_failure{exchange_end::interrupted, attempt_end::answer_interrupted, true},
    exchange_failure{exchange_end::mismatched_answer, attempt_end::no_answer, false},
    exchange_failure{exchange_end::caller_gone, std::nullopt, false},
};

/// Returns the failure of a call for which no endpoint remains.
state::failure no_endpoint_failure(const call& accepted) {
    const auto detail =
        "no other endpoint after " + std::to_string(accepted.attempts) + " attempts";
    if (!accepted.may_have_run) {
        return {failure_kind::no_endpoint, detail, state::execution_outcome::not_run};
    }
    return {failure_kind::endpoint_failed, detail, state::execution_outcome::unknown};
}

call_route route_to(const counted_attempt& attempt, bool fresh_connection) {
    const auto& endpoint = attempt.endpoint();
    return {endpoint.id, endpoint.address, endpoint.port, fresh_connection, attempt};
}

} // namespace

call_coordinator::call_coordinator(call_settings settings,
                                   const state::snapshot_cell<state::configuration>& configuration,
                                   call_components components, state::metrics& metrics,
                                   call_hooks hooks)
    : m_settings(std::move(settings)), m_configuration(configuration), m_components(components),
      m_hooks(std::move(hooks)), m_accepted(metrics.counter_of("calls_accepted_total")),
      m_refused(metrics.counter_of("calls_refused_total")),
      m_retried(metrics.counter_of("call_retries_total")),
      m_completed(metrics.counter_of("calls_completed_total")),
      m_open(metrics.gauge_of("calls_open")) {}

state::result<std::shared_ptr<call>> call_coordinator::accept(const call_request& request,
                                                              state::time_point now) {
    BOOST_LEAF_CHECK(m_hooks.check_eligibility(now));

    // Identify the customer and the deployment, and check permissions.
    auto accepted = std::make_shared<call>();
    accepted->configuration = m_configuration.load();
    const auto& configuration = *accepted->configuration;
    accepted->customer = configuration.find_customer(state::sha256_hex(request.bearer_token));
    if (accepted->customer == nullptr) {
        return state::fail(failure_kind::unauthenticated, "the bearer token is not known");
    }
    accepted->deployment = find_target(configuration, request);
    if (accepted->deployment == nullptr) {
        const auto& name = request.model.empty() ? request.service.value() : request.model;
        return state::fail(failure_kind::not_found, "no deployment serves '" + name + "'");
    }
    if (!is_permitted(*accepted->deployment, accepted->customer->id)) {
        return state::fail(failure_kind::forbidden, "customer '" + accepted->customer->id.value() +
                                                        "' may not use '" +
                                                        accepted->deployment->id.value() + "'");
    }
    if (accepted->deployment->repeat == state::repeat_rule::at_most_once &&
        request.idempotency_key.empty()) {
        return state::fail(failure_kind::idempotency_key_required,
                           "calls to '" + accepted->deployment->id.value() +
                               "' need an idempotency key because they run at most once");
    }

    accepted->crash_fingerprint = fingerprint_of(accepted->customer->id, request.body);
    BOOST_LEAF_CHECK(m_components.suspects.check(accepted->crash_fingerprint));

    // Fill in the rest of the call and admit it.
    accepted->ticket = m_next_id.fetch_add(1, std::memory_order_relaxed);
    accepted->id = state::request_id(m_settings.id_prefix + "-" + std::to_string(accepted->ticket));
    accepted->body_digest = state::sha256_hex(accepted->customer->id.value() + '\n' + request.body);
    accepted->prefix = prefix_digests(request.prompt);
    accepted->cost_tokens =
        request.max_tokens + static_cast<std::uint32_t>(request.prompt.size() / 4);
    accepted->priority = request.priority;
    accepted->idempotency_key = request.idempotency_key;
    accepted->accepted_at = now;
    accepted->deadline = now + request.deadline.value_or(m_settings.default_deadline);
    BOOST_LEAF_CHECK(m_hooks.admit(*accepted, now));
    m_accepted.add();
    m_open.add(1);
    return accepted;
}

void call_coordinator::wait_for_start(const call& accepted, state::time_point now,
                                      start_completion completion) {
    m_components.queue.submit({accepted.ticket, accepted.deployment->id, accepted.customer->id,
                               std::max(1.0, static_cast<double>(accepted.cost_tokens)),
                               priority_of(accepted), accepted.deadline},
                              now, std::move(completion));
}

state::result<counted_attempt>
call_coordinator::count_attempt(const call& accepted,
                                const std::vector<state::endpoint_id>& excluded,
                                state::time_point now, random_source& random) {
    catalog_request request{accepted.deployment->id, accepted.prefix, excluded,
                            priority_of(accepted), [&](const auto& endpoint, const auto& view) {
                                return m_hooks.may_use_endpoint(endpoint, view, now);
                            }};
    const auto crash_fingerprint = accepted.crash_fingerprint;
    while (true) {
        BOOST_LEAF_AUTO(attempt, m_components.catalog.begin(request, now, random));
        if (!m_components.suspects.is_suspect(crash_fingerprint) ||
            m_components.suspects.reserve(attempt.endpoint().id, crash_fingerprint)) {
            return attempt;
        }
        // An endpoint runs at most one suspect at a time, so try another endpoint.
        m_components.catalog.end(attempt, false, now);
        request.excluded.push_back(attempt.endpoint().id);
    }
}

state::result<call_route> call_coordinator::next_route(call& accepted, state::time_point now,
                                                       random_source& random) {
    const auto outcome = accepted.may_have_run ? state::execution_outcome::unknown
                                               : state::execution_outcome::not_run;
    if (now >= accepted.deadline) {
        return state::fail(failure_kind::deadline_exceeded, "the deadline passed", outcome);
    }
    // The request may have been quarantined since this call was accepted. A call that
    // no endpoint can have run did not cause the crashes, so it continues.
    if (accepted.may_have_run &&
        !state::collect([&] { return m_components.suspects.check(accepted.crash_fingerprint); })) {
        return state::fail(failure_kind::request_quarantined,
                           "endpoints that ran this request have crashed", outcome);
    }

    if (accepted.reserved) {
        ++accepted.attempts;
        accepted.open_attempts.push_back(*std::exchange(accepted.reserved, std::nullopt));
        return accepted.open_attempts.back();
    }

    // If no other endpoint is available, retry one that failed this call before.
    auto attempt =
        state::collect([&] { return count_attempt(accepted, accepted.excluded, now, random); });
    if (!attempt && !accepted.excluded.empty()) {
        attempt = state::collect([&] { return count_attempt(accepted, {}, now, random); });
    }
    if (!attempt) {
        // The catalog's failure states that the call did not run, which may be wrong
        // after an earlier attempt.
        return state::fail(accepted.attempts > 0 ? no_endpoint_failure(accepted) : attempt.error());
    }
    if (accepted.attempts++ == 0) {
        m_components.budget.count_first_attempt(accepted.deployment->id);
    }
    const bool fresh =
        accepted.attempts > 1 || accepted.deployment->repeat == state::repeat_rule::at_most_once;
    accepted.open_attempts.push_back(route_to(attempt.value(), fresh));
    return accepted.open_attempts.back();
}

silence_step call_coordinator::handle_silence(call& accepted, const call_route& route,
                                              const answer_progress& progress, bool is_caller_gone,
                                              state::time_point now, random_source& random) {
    // The outcome of a call that may run once is stored, also if its caller has gone.
    const bool needs_caller = accepted.deployment->repeat != state::repeat_rule::at_most_once;
    return decide_on_silence(
        {.is_over = [&] { return (is_caller_gone && needs_caller) || now >= accepted.deadline; },
         .has_kept_answer = [] { return false; },
         .prepare_next = [&] { return reserve_attempt(accepted, route, progress, now, random); },
         // The connection to an endpoint that is lost breaks.
         .is_lost = [] { return false; }});
}

bool call_coordinator::reserve_attempt(call& accepted, const call_route& route,
                                       const answer_progress& progress, state::time_point now,
                                       random_source& random) {
    const bool may_retry =
        !decide_retry_of(
             accepted, attempt_end::progress_deadline, progress, [] { return true; }, now)
             .give_up;
    const bool is_quarantined =
        !state::collect([&] { return m_components.suspects.check(accepted.crash_fingerprint); });
    if (!may_retry || is_quarantined) {
        return false;
    }
    auto excluded = accepted.excluded;
    excluded.push_back(route.endpoint);
    const auto attempt =
        state::collect([&] { return count_attempt(accepted, excluded, now, random); });
    if (!attempt) {
        return false;
    }
    const auto next = route_to(attempt.value(), true);
    if (!m_components.budget.take(accepted.deployment->id)) {
        release_attempt(accepted, next, false, now);
        return false;
    }
    accepted.reserved = next;
    return true;
}

retry_decision call_coordinator::decide_retry_of(const call& accepted, attempt_end end,
                                                 const answer_progress& progress,
                                                 const std::function<bool()>& take_from_budget,
                                                 state::time_point now) const {
    return decide_retry({accepted.deployment->repeat, accepted.deadline, accepted.attempts,
                         !accepted.may_have_run, progress.tokens_relayed,
                         progress.engine_can_resume},
                        end, m_settings.retries, {proves_not_run, take_from_budget}, now);
}

void call_coordinator::release_attempt(call& accepted, const call_route& route, bool completed,
                                       state::time_point now) {
    m_components.catalog.end(route.counted, completed, now);
    m_components.suspects.release(route.endpoint, accepted.crash_fingerprint);
    std::erase_if(accepted.open_attempts,
                  [&](const call_route& open) { return open.endpoint == route.endpoint; });
}

state::result<void> call_coordinator::attempt_ended(call& accepted, const call_route& route,
                                                    exchange_end end,
                                                    const answer_progress& progress,
                                                    state::time_point now) {
    const auto& mapping = exchange_failures.at(static_cast<std::size_t>(end));
    release_attempt(accepted, route, end == exchange_end::completed, now);
    if (mapping.may_have_crashed) {
        m_components.broken.add(route.endpoint, accepted.crash_fingerprint, now);
    }
    // A connection that the deadline cut short shows nothing about the endpoint.
    if (end == exchange_end::not_sent && now < accepted.deadline) {
        m_components.catalog.mark_unreachable(*route.counted.routes, route.counted.slot, now);
        if (const auto crash = m_components.broken.take_crash(route.endpoint, now)) {
            m_components.suspects.record_crash(*crash, now);
        }
    }

    accepted.may_have_run =
        accepted.may_have_run || !mapping.attempt || !proves_not_run(*mapping.attempt);
    if (end == exchange_end::completed) {
        return {};
    }
    if (!mapping.attempt) {
        return state::fail(failure_kind::stream_interrupted, "the caller closed its connection",
                           state::execution_outcome::unknown);
    }
    accepted.excluded.push_back(route.endpoint);
    if (accepted.reserved) {
        m_retried.add();
        return {};
    }
    const auto decision = decide_retry_of(
        accepted, *mapping.attempt, progress,
        [&] { return m_components.budget.take(accepted.deployment->id); }, now);
    if (decision.give_up) {
        return state::fail(*decision.give_up);
    }
    m_retried.add();
    return {};
}

void call_coordinator::finish(call& accepted, state::execution_outcome outcome,
                              state::time_point now) {
    if (std::exchange(accepted.has_ended, true)) {
        return;
    }
    for (const auto& route : std::exchange(accepted.open_attempts, {})) {
        release_attempt(accepted, route, false, now);
    }
    if (const auto reserved = std::exchange(accepted.reserved, std::nullopt)) {
        release_attempt(accepted, *reserved, false, now);
    }
    m_components.queue.finish(accepted.deployment->id, accepted.ticket, now);
    m_open.add(-1);
    (outcome == state::execution_outcome::ran ? m_completed : m_refused).add();
    m_hooks.finished(accepted, outcome, now);
}

} // namespace savoryrelay::coordination
