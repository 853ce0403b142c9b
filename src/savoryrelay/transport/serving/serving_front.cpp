// Serves one call: finds its route, customer and service, tries endpoints, and
// reports the outcome.
#include "savoryrelay/transport/serving/call_state.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using coordination::attempt_outcome;
using coordination::call_outcome;
using coordination::endpoint_end;
using coordination::selected_endpoint;
using state::milliseconds;

namespace {

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

// Deadline of a call that has none, on a route without a time-out.
constexpr milliseconds default_deadline{30'000};
// A call that fails less than this time before its deadline is reported as timed out,
// because a wait until the deadline can end slightly early.
constexpr milliseconds deadline_accuracy{20};
// How long a call waits on a host that has just started and has no configuration yet.
constexpr milliseconds configuration_wait{250};
constexpr milliseconds configuration_poll_interval{20};
// Values of the Retry-After field of a refusal. A group can form within
// `retry_after_refusal`.
constexpr milliseconds retry_after_refusal{1'000};
constexpr milliseconds retry_after_unknown_service{500};
constexpr milliseconds retry_after_no_configuration{300};
// Another host may serve the call at once.
constexpr milliseconds retry_after_cut_off{250};

constexpr double ms_per_s = 1'000;

} // namespace

serving_front::serving_front(serving_dependencies dependencies)
    : m_dependencies(std::move(dependencies)) {}

asio::awaitable<void> serving_front::handle(http_request request, response_writer& writer) {
    call_state call(std::move(request), writer);
    call.arrived = m_dependencies.now();
    call.decoded = m_dependencies.codec.decode_call(call.request);
    call.configuration = m_dependencies.configuration();

    while (call.configuration->version == 0 &&
           m_dependencies.now() - call.arrived < configuration_wait) {
        co_await pause_for(configuration_poll_interval);
        call.configuration = m_dependencies.configuration();
    }
    if (call.configuration->version == 0) {
        co_await refuse(call, status_unavailable, "no_configuration", retry_after_no_configuration);
        co_return;
    }
    const bool is_authorized = co_await authorize(call);
    if (!is_authorized) {
        co_return;
    }

    // Choose one of the route's services by a hash of the call's id, so that a
    // repeated call gets the same service.
    double total = 0;
    for (const auto& share : call.route->services) {
        total += share.weight;
    }
    constexpr std::size_t hash_buckets = 10'000;
    double position =
        total *
        static_cast<double>(std::hash<std::string>{}(call.decoded.id.value()) % hash_buckets) /
        static_cast<double>(hash_buckets);
    std::string service = call.route->services.back().service;
    for (const auto& share : call.route->services) {
        if (position < share.weight) {
            service = share.service;
            break;
        }
        position -= share.weight;
    }
    const auto found = call.configuration->services.find(service);
    if (found == call.configuration->services.end()) {
        co_await refuse(call, status_unavailable, "unknown_service", retry_after_unknown_service);
        co_return;
    }
    call.service = &found->second;
    call.model =
        call.service->engine ? call.service->engine->find_model(call.decoded.model) : nullptr;
    set_urgency(call);
    call.fingerprints =
        coordination::fingerprints_of(call.decoded, call.customer, call.request.body());

    auto time_limit = call.decoded.deadline.value_or(default_deadline);
    if (call.route->timeout.count() > 0) {
        time_limit = std::min(time_limit, call.route->timeout);
    }
    call.deadline = call.arrived + time_limit;
    if (call.decoded.last_event) {
        call.events.continue_after(*call.decoded.last_event);
    }
    writer.on_caller_gone([&call] {
        call.caller_is_gone = true;
        call.close_connections();
    });
    call.caller_is_gone = writer.is_caller_gone(); // while the configuration was awaited
    co_await run_attempts(call);
    writer.on_caller_gone(nullptr);
    co_await report_kept_closes(call);
    report_end(call);
}

asio::awaitable<bool> serving_front::answer_head(const http_request& head,
                                                 response_writer& writer) {
    call_state call(head, writer);
    call.arrived = m_dependencies.now();
    call.decoded = m_dependencies.codec.decode_call(call.request);
    call.configuration = m_dependencies.configuration();
    if (call.configuration->version == 0) {
        co_return false; // the whole request waits for the configuration
    }
    const bool is_authorized = co_await authorize(call);
    co_return !is_authorized;
}

asio::awaitable<bool> serving_front::authorize(call_state& call) {
    call.route = call.configuration->find_route(call.decoded.host, call.decoded.path);
    if (call.route == nullptr) {
        co_await refuse(call, status_not_found, "no_route", milliseconds(0));
        co_return false;
    }
    if (!call.route->is_public && call.configuration->requires_keys) {
        const auto* customer = call.configuration->find_customer(call.decoded.key);
        if (customer == nullptr) {
            co_await refuse(call, status_unauthorized, "unknown_key", milliseconds(0));
            co_return false;
        }
        call.customer = customer->id.value();
        call.customer_priority = customer->priority;
    }
    co_return true;
}

asio::awaitable<void> serving_front::run_attempts(call_state& call) {
    m_dependencies.repeats.note_call(call.service->name, call.arrived);
    coordination::call_progress progress(*call.route, [&] {
        return m_dependencies.repeats.take(call.service->name, m_dependencies.now());
    });
    call.progress = &progress;
    std::optional<attempt_result> failure;
    std::string reason;
    std::optional<milliseconds> retry_after; // if the reason of the refusal sets it
    while (true) {
        const auto now = m_dependencies.now();
        if (call.caller_is_gone) {
            break;
        }
        if (time_until(call.deadline, now) <= milliseconds(0)) {
            reason = "deadline";
            break;
        }
        attempt_result end;
        if (return_to_kept_attempt(call)) {
            end = co_await resume_attempt(call);
        } else {
            // The answer of an interrupted stream has begun, so the call is not told to come
            // back. It takes a repeat only when an endpoint can resume it.
            const bool is_interrupted = progress.has_answer_begun();
            if (is_interrupted && !progress.allows_attempt() && call.route->may_run_again() &&
                !call.broke_off.empty()) {
                co_await discount_ended_endpoints(call);
                if (progress.allows_attempt()) {
                    continue; // time has passed
                }
            }
            if (is_interrupted ? !progress.allows_attempt() : !progress.may_attempt()) {
                break;
            }
            if (m_dependencies.connector.is_stranded() && !is_interrupted) {
                reason = "cut_off";
                retry_after = retry_after_cut_off;
                break;
            }
            if (const auto time_left = m_dependencies.crashes.accept(call.fingerprints, now)) {
                reason = state::properties_of(state::failure_kind::request_quarantined).name;
                retry_after = time_left;
                break;
            }
            report_work(call);
            if (!admit(call)) {
                reason = state::to_name(coordination::admission_refusal_reason::shortage);
                break;
            }
            auto selected = co_await wait_for_endpoint(call);
            if (call.caller_is_gone) {
                break;
            }
            if (const auto* none = std::get_if<coordination::selection_failure>(&selected)) {
                reason = state::to_name(*none);
                if (*none == coordination::selection_failure::all_limited) {
                    retry_after = m_dependencies.selector.retry_after_limits(
                        *call.service, call.decoded, m_dependencies.now());
                }
                break;
            }
            if (is_interrupted && !progress.may_attempt()) {
                break;
            }
            auto& chosen = std::get<selected_endpoint>(selected);
            call.predicted_ms = chosen.predicted_first_event_ms;
            call.endpoint = chosen.runner.record.id.value();
            call.tried.insert(chosen.runner.record.id);
            call.may_have_run_at.insert(chosen.runner.record.id);
            ++call.attempts;
            progress.begin_attempt();
            call.current = std::make_unique<open_attempt>(std::move(chosen));
            end = co_await try_endpoint(call);
        }
        if (call.caller_is_gone) {
            end.outcome = attempt_outcome::caller_gone;
        } else if (end.is_kept) {
            call.current->kept_events = call.events;
            call.kept.push_back(std::move(call.current));
            continue;
        }
        const auto attempt = std::move(call.current);
        if (end.is_withdrawn && !call.caller_is_gone) {
            progress.withdraw_attempt();
            --call.attempts;
            call.may_have_run_at.erase(attempt->chosen.runner.record.id);
            continue;
        }
        progress.note(end.outcome, !end.endpoint_ended   ? endpoint_end::none
                                   : attempt->is_writing ? endpoint_end::during_answer
                                                         : endpoint_end::before_answer);
        if (end.closed_by_endpoint && !end.endpoint_ended && attempt->is_writing) {
            call.broke_off.push_back(attempt->chosen.runner.record);
        }
        reason = end.reason;
        if (end.outcome == attempt_outcome::not_run) {
            call.may_have_run_at.erase(attempt->chosen.runner.record.id);
        }
        if (progress.has_answer_begun() && !call.interrupted_at) {
            call.interrupted_at = m_dependencies.now();
        }
        if (end.outcome == attempt_outcome::delivered ||
            end.outcome == attempt_outcome::caller_gone) {
            call.reason = state::to_name(end.outcome);
            if (end.outcome == attempt_outcome::caller_gone) {
                call.outcome = call_outcome::abandoned;
                call.writer.abandon();
            }
            co_return;
        }
        report_failed_attempt(call, *attempt, end);
        if (end.outcome == attempt_outcome::failed) {
            failure = std::move(end);
        }
    }
    end_kept_attempts(call);
    if (call.caller_is_gone) {
        call.writer.abandon();
        call.outcome = call_outcome::abandoned;
        call.reason = "caller_gone";
        co_return;
    }

    co_await answer_without_success(call, std::move(failure), std::move(reason),
                                    retry_after.value_or(refusal_time(call)));
}

asio::awaitable<void> serving_front::answer_without_success(call_state& call,
                                                            std::optional<attempt_result> failure,
                                                            std::string reason,
                                                            milliseconds retry_after) {
    // Report a broken stream if events were relayed, else the failure that an endpoint
    // answered, else a refusal.
    if (call.progress->has_answer_begun()) {
        call.writer.abandon();
        call.outcome = call_outcome::broken;
        call.reason = "stream_broken: " + reason;
        co_return;
    }
    if (failure) {
        call.status = failure->status;
        call.outcome = call_outcome::failed;
        call.reason = "endpoint_failure";
        co_await call.writer.send(failure->status, std::move(failure->fields), failure->body);
        co_return;
    }
    if (call.progress->execution() == state::execution_outcome::not_run) {
        co_await refuse(call, status_unavailable, reason, retry_after);
        co_return;
    }
    const bool is_late = time_until(call.deadline, m_dependencies.now()) < deadline_accuracy;
    co_await refuse(call, is_late ? status_timeout : status_bad_gateway, reason, milliseconds(0));
}

milliseconds serving_front::refusal_time(const call_state& call) const {
    const auto now = m_dependencies.now();
    const auto paused_until =
        m_dependencies.selector.paused_until(*call.service, call.decoded, now);
    if (!paused_until) {
        return call.model != nullptr && m_dependencies.admission != nullptr
                   ? m_dependencies.admission->retry_after(*call.service, *call.model, now)
                   : retry_after_refusal;
    }
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(*paused_until - now));
}

void serving_front::report_work(call_state& call) {
    if (call.model != nullptr && !std::exchange(call.is_work_reported, true)) {
        m_dependencies.report_work(
            call.model->name, call.decoded.urgency,
            coordination::call_work_ms(*call.service->engine, *call.model, call.decoded));
    }
}

asio::awaitable<void> serving_front::refuse(call_state& call, unsigned status, std::string reason,
                                            milliseconds retry_after) {
    call.status = status;
    call.outcome = status == status_unavailable ? call_outcome::refused : call_outcome::failed;
    call.reason = reason;
    auto fields = content_type_field("application/json");
    fields.push_back(m_dependencies.codec.request_id_field(call.decoded.id));
    if (retry_after.count() > 0) {
        fields.push_back(m_dependencies.codec.retry_after_field(retry_after));
    }
    if (co_await call.writer.send(status, std::move(fields),
                                  R"({"error":{"kind":")" + reason + R"("}})")) {
        call.writer.abandon();
    }
    if (call.service == nullptr) {
        report_end(call);
    }
}

void serving_front::report_end(const call_state& call) const {
    const auto now = m_dependencies.now();
    const std::string kind(call.route == nullptr ? "none" : state::to_name(call.route->kind));
    const std::string endpoint = call.service == nullptr ? "none" : call.service->name;
    // The label keeps only the part before ':', which has a fixed set of values.
    const auto reason = call.reason.substr(0, call.reason.find(':'));
    m_dependencies.metrics
        .counter_of("savoryrelay_calls_total",
                    {{"kind", kind},
                     {"endpoint", endpoint},
                     {"outcome", std::string(state::to_name(call.outcome))},
                     {"reason", reason}})
        .add();
    const auto seconds = [&](state::time_point at) {
        return static_cast<double>(time_until(at, call.arrived).count()) / ms_per_s;
    };
    const state::metric_labels labels{{"kind", kind}, {"endpoint", endpoint}};
    if (call.first_byte) {
        m_dependencies.metrics.latency_of("savoryrelay_first_answer_seconds", labels)
            .record(seconds(*call.first_byte));
    }
    m_dependencies.metrics.latency_of("savoryrelay_call_seconds", labels).record(seconds(now));
    std::string longest_gap_ms;
    std::string longest_gap_begin_ms;
    if (const auto gap = call.timing.longest_gap()) {
        m_dependencies.metrics.latency_of("savoryrelay_event_gap_seconds", labels)
            .record(std::chrono::duration<double>(*gap).count());
        longest_gap_ms = std::to_string(std::chrono::duration_cast<milliseconds>(*gap).count());
        longest_gap_begin_ms =
            std::to_string(time_until(call.timing.longest_gap_begin(), call.arrived).count());
    }
    log_info("call_ended",
             {{"id", call.decoded.id.value()},
              {"route", call.route == nullptr ? "" : call.route->name},
              {"status", std::to_string(call.status)},
              {"reason", call.reason},
              {"urgency", std::string(state::to_name(call.decoded.urgency))},
              {"endpoint", call.endpoint},
              {"attempts", std::to_string(call.attempts)},
              {"predicted_ms", std::to_string(static_cast<int>(call.predicted_ms))},
              {"first_ms", call.first_byte
                               ? std::to_string(time_until(*call.first_byte, call.arrived).count())
                               : ""},
              {"longest_gap_ms", longest_gap_ms},
              {"longest_gap_begin_ms", longest_gap_begin_ms},
              {"total_ms", std::to_string(time_until(now, call.arrived).count())},
              {"configuration", std::to_string(call.configuration->version)}});
}

} // namespace savoryrelay::transport
