// Acceptance, routing of attempts and the rules of retry.
#include "savoryrelay/coordination/call/call_coordinator.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <cassert>

namespace savoryrelay::coordination {

using state::failure_kind;

namespace {

bool may_use(const state::deployment_config& deployment, const state::customer_id& customer) {
    const auto& allowed = deployment.customers;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), customer) != allowed.end();
}

const state::deployment_config* find_target(const state::configuration& configuration,
                                            const call_request& request) {
    if (!request.model.empty()) {
        return configuration.find_model(request.model);
    }
    const auto* found = configuration.find_deployment(request.service);
    const bool is_service = found != nullptr && found->kind == state::deployment_kind::service;
    return is_service ? found : nullptr;
}

} // namespace

call_coordinator::call_coordinator(call_settings settings,
                                   const state::snapshot_cell<state::configuration>& configuration,
                                   state::endpoint_table& endpoints, state::metrics& metrics,
                                   call_hooks hooks)
    : m_settings(std::move(settings)), m_configuration(configuration), m_endpoints(endpoints),
      m_hooks(std::move(hooks)), m_accepted(metrics.counter_of("calls_accepted_total")),
      m_refused(metrics.counter_of("calls_refused_total")),
      m_retried(metrics.counter_of("call_retries_total")),
      m_completed(metrics.counter_of("calls_completed_total")),
      m_open(metrics.gauge_of("calls_open")) {}

state::result<std::shared_ptr<call>> call_coordinator::accept(const call_request& request,
                                                              state::time_point now) {
    BOOST_LEAF_CHECK(m_hooks.check_eligibility(now));

    // Who calls, and what for.
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
    if (!may_use(*accepted->deployment, accepted->customer->id)) {
        return state::fail(failure_kind::forbidden, "customer '" + accepted->customer->id.value() +
                                                        "' may not use '" +
                                                        accepted->deployment->id.value() + "'");
    }
    if (accepted->deployment->repeat == state::repeat_rule::at_most_once &&
        request.idempotency_key.empty()) {
        return state::fail(failure_kind::idempotency_key_required,
                           "calls to '" + accepted->deployment->id.value() +
                               "' may not be repeated");
    }

    // The call itself.
    accepted->id =
        state::request_id(m_settings.id_prefix + "-" +
                          std::to_string(m_next_id.fetch_add(1, std::memory_order_relaxed)));
    accepted->fingerprint = state::sha256_hex(accepted->customer->id.value() + '\n' + request.body);
    accepted->prompt = request.prompt;
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

state::result<call_route> call_coordinator::next_route(call& accepted, state::time_point now,
                                                       random_source& random) {
    if (now >= accepted.deadline) {
        return state::fail(failure_kind::deadline_exceeded, "the deadline passed",
                           accepted.bytes_left ? state::execution_outcome::unknown
                                               : state::execution_outcome::not_run);
    }

    // Collect the endpoints of the deployment that may take work. Drains are
    // read from the present configuration, not from the one at acceptance.
    const auto configuration = m_configuration.load();
    std::vector<route_candidate> candidates;
    std::vector<const state::endpoint_config*> rows;
    for (const auto& endpoint : configuration->endpoints) {
        if (endpoint.deployment != accepted.deployment->id || endpoint.drained ||
            configuration->is_drained(endpoint.availability_zone)) {
            continue;
        }
        auto view = m_endpoints.find(endpoint.id).value_or(state::endpoint_state{});
        if (!m_hooks.may_use_endpoint(endpoint, view, now)) {
            continue;
        }
        candidates.push_back(
            {endpoint.id, endpoint.availability_zone, endpoint.capacity, view, false});
        rows.push_back(&endpoint);
    }
    const auto choose = [&] {
        return m_hooks.choose_endpoint(candidates, {m_settings.local_zone, accepted.excluded}, now,
                                       random);
    };
    auto choice = state::collect(choose);
    if (!choice && !accepted.excluded.empty()) {
        // Every endpoint failed this call once; one of them may have recovered.
        accepted.excluded.clear();
        choice = state::collect(choose);
    }
    if (!choice) {
        // "Not run" would be untrue once an earlier attempt may have reached an endpoint.
        return accepted.bytes_left ? state::fail(refusal_of(accepted, attempt_end::no_answer))
                                   : state::fail(choice.error());
    }

    // Count the call at its endpoint.
    const auto& row = *rows.at(choice.value());
    m_endpoints.update(row.id, [](state::endpoint_state& view) {
        ++view.in_flight;
        ++view.sent_since_report;
    });
    ++accepted.attempts;
    const bool fresh =
        accepted.attempts > 1 || accepted.deployment->repeat == state::repeat_rule::at_most_once;
    return call_route{row.id, row.address, row.port, fresh};
}

bool call_coordinator::may_retry(const call& accepted, attempt_end end, bool can_resume,
                                 state::time_point now) const {
    if (now >= accepted.deadline || accepted.attempts >= m_settings.max_attempts) {
        return false;
    }
    switch (end) {
    case attempt_end::not_sent:
    case attempt_end::refused:
        return true;
    case attempt_end::no_answer:
    case attempt_end::crossed:
        return accepted.deployment->repeat == state::repeat_rule::repeatable;
    case attempt_end::interrupted:
        return accepted.deployment->repeat == state::repeat_rule::repeatable && can_resume;
    case attempt_end::completed:
    case attempt_end::caller_gone:
        return false;
    }
    return false;
}

state::failure call_coordinator::refusal_of(const call& accepted, attempt_end end) const {
    const bool once = accepted.deployment->repeat == state::repeat_rule::at_most_once;
    const auto where = "after " + std::to_string(accepted.attempts) + " attempts";
    if (!accepted.bytes_left) {
        return {failure_kind::endpoint_unreachable, "no endpoint took the request " + where};
    }
    if (once) {
        return {failure_kind::booking_unknown, "the service gave no whole answer"};
    }
    if (end == attempt_end::interrupted) {
        return {failure_kind::stream_interrupted, "the answer broke off " + where};
    }
    return {failure_kind::endpoint_failed, "no whole answer came " + where};
}

state::result<void> call_coordinator::attempt_ended(call& accepted, const call_route& route,
                                                    attempt_end end, bool can_resume,
                                                    state::time_point now) {
    const bool endpoint_failed = end != attempt_end::completed && end != attempt_end::caller_gone &&
                                 end != attempt_end::refused;
    m_endpoints.update(route.endpoint, [&](state::endpoint_state& view) {
        assert(view.in_flight > 0);
        --view.in_flight;
        view.consecutive_failures = endpoint_failed ? view.consecutive_failures + 1 : 0;
        if (endpoint_failed) {
            view.retry_at = now + m_settings.down_interval;
        }
        if (end == attempt_end::not_sent) {
            view.phase = state::endpoint_phase::down;
        } else if (end == attempt_end::completed && view.phase == state::endpoint_phase::down) {
            view.phase = state::endpoint_phase::cold;
        }
    });
    if (end != attempt_end::not_sent && end != attempt_end::refused) {
        accepted.bytes_left = true;
    }
    if (end == attempt_end::completed) {
        return {};
    }
    accepted.excluded.push_back(route.endpoint);
    if (may_retry(accepted, end, can_resume, now)) {
        m_retried.add();
        return {};
    }
    return state::fail(refusal_of(accepted, end));
}

void call_coordinator::finish(const call& accepted, state::execution_outcome outcome,
                              state::time_point now) {
    m_open.add(-1);
    (outcome == state::execution_outcome::ran ? m_completed : m_refused).add();
    m_hooks.finished(accepted, outcome, now);
}

} // namespace savoryrelay::coordination
