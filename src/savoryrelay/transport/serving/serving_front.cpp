// Serves one call: finds its route, customer and service, tries endpoints, and
// reports the outcome.
#include "savoryrelay/transport/serving/call_state.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using coordination::attempt_outcome;
using coordination::call_outcome;
using coordination::selected_endpoint;
using state::milliseconds;

namespace {

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

// A round trip inside a region takes some milliseconds. An endpoint that does not
// accept a connection within this time is dead or unreachable.
constexpr milliseconds connect_timeout{250};
constexpr milliseconds send_timeout{1'000};
// A process that ends may still accept connections after it has closed others, for at most
// this long. Another one takes longer to start.
constexpr milliseconds process_end_time{50};
// Deadline of a call that has none, on a route without a time-out.
constexpr milliseconds default_deadline{30'000};
// An endpoint that did not answer gets no call for this long.
constexpr milliseconds avoidance_after_failure{500};
// A call that may not be repeated uses an idle connection only during this fraction
// of the peer's keep-alive timeout. If the peer closed the connection early, the
// outcome of the call would be unknown.
constexpr double non_repeatable_idle_share = 0.25;
// A call that fails less than this time before its deadline is reported as timed out,
// because a wait until the deadline can end slightly early.
constexpr milliseconds deadline_accuracy{20};
// A call waits for a free endpoint for at most this fraction of its target for the
// first answer. The longer the front holds a call, the more time the caller loses
// if the call is then refused.
constexpr double queue_target_share = 0.3;
constexpr milliseconds max_queue_time{200};
constexpr milliseconds queue_poll_interval{20};
// How long a call waits on a host that has just started and has no configuration yet.
constexpr milliseconds configuration_wait{250};
// Values of the Retry-After field of a refusal. A group can form within
// `retry_after_refusal`.
constexpr milliseconds retry_after_refusal{1'000};
constexpr milliseconds retry_after_unknown_service{500};
constexpr milliseconds retry_after_no_configuration{300};

constexpr double ms_per_s = 1'000;

asio::awaitable<bool> accepts_connection(asio::io_context& context,
                                         const state::runner_record& endpoint) {
    endpoint_connection probe(context);
    const auto failed = co_await probe.connect(endpoint.address, endpoint.port, connect_timeout);
    co_return !failed;
}

// Returns whether an endpoint that has closed a connection goes on to accept others.
asio::awaitable<bool> keeps_accepting(asio::io_context& context,
                                      const state::runner_record& endpoint) {
    const bool accepts_now = co_await accepts_connection(context, endpoint);
    if (!accepts_now) {
        co_return false;
    }
    co_await pause_for(process_end_time);
    const bool accepts_later = co_await accepts_connection(context, endpoint);
    co_return accepts_later;
}

/// Counts a call as load of its endpoint from the construction to the destruction.
class counted_call {
public:
    /// `is_writing` is read at the destruction.
    counted_call(coordination::load_tracker& loads, const state::endpoint_id& endpoint,
                 double prompt_tokens, const bool& is_writing)
        : m_loads(loads), m_endpoint(endpoint), m_prompt_tokens(prompt_tokens),
          m_is_writing(is_writing) {
        m_loads.begin_call(m_endpoint, m_prompt_tokens);
    }
    ~counted_call() { m_loads.end_call(m_endpoint, m_prompt_tokens, m_is_writing); }
    counted_call(const counted_call&) = delete;
    counted_call& operator=(const counted_call&) = delete;

private:
    coordination::load_tracker& m_loads;
    const state::endpoint_id& m_endpoint;
    double m_prompt_tokens;
    const bool& m_is_writing;
};

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
        co_await pause_for(queue_poll_interval);
        call.configuration = m_dependencies.configuration();
    }
    if (call.configuration->version == 0) {
        co_await refuse(call, status_unavailable, "no_configuration", retry_after_no_configuration);
        co_return;
    }
    call.route = call.configuration->find_route(call.decoded.host, call.decoded.path);
    if (call.route == nullptr) {
        co_await refuse(call, status_not_found, "no_route", milliseconds(0));
        co_return;
    }
    if (!call.route->is_public && !call.configuration->customers.empty()) {
        const auto* customer = call.configuration->find_customer(call.decoded.key);
        if (customer == nullptr) {
            co_await refuse(call, status_unauthorized, "unknown_key", milliseconds(0));
            co_return;
        }
        call.customer = customer->id.value();
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
        if (call.connection != nullptr) {
            call.connection->close();
        }
    });
    call.caller_is_gone = writer.is_caller_gone(); // while the configuration was awaited
    co_await run_attempts(call);
    writer.on_caller_gone(nullptr);
    report_end(call);
}

asio::awaitable<void> serving_front::run_attempts(call_state& call) {
    m_dependencies.repeats.note_call(call.service->name, call.arrived);
    if (call.service->engine) {
        if (const auto* model = call.service->engine->find_model(call.decoded.model)) {
            m_dependencies.report_work(
                model->name,
                coordination::call_work_ms(*call.service->engine, *model, call.decoded));
        }
    }
    coordination::call_progress progress(*call.route, [&] {
        return m_dependencies.repeats.take(call.service->name, m_dependencies.now());
    });
    call.progress = &progress;
    std::optional<attempt_result> failure;
    std::string reason;
    auto retry_after = retry_after_refusal;
    while (progress.may_attempt()) {
        const auto now = m_dependencies.now();
        if (call.caller_is_gone) {
            call.outcome = call_outcome::abandoned;
            call.reason = "caller_gone";
            co_return;
        }
        const auto left = time_until(call.deadline, now);
        if (left <= milliseconds(0)) {
            reason = "deadline";
            break;
        }
        if (const auto time_left =
                m_dependencies.crashes.time_quarantined(call.fingerprints, now)) {
            reason = state::properties_of(state::failure_kind::request_quarantined).name;
            retry_after = *time_left;
            break;
        }
        const auto selected = co_await wait_for_endpoint(call);
        if (call.caller_is_gone) {
            continue;
        }
        if (const auto* none = std::get_if<coordination::selection_failure>(&selected)) {
            reason = state::to_name(*none);
            break;
        }
        const auto& chosen = std::get<selected_endpoint>(selected);
        call.predicted_ms = chosen.predicted_first_event_ms;
        call.endpoint = chosen.runner.record.id.value();
        call.tried.insert(chosen.runner.record.id);
        ++call.attempts;
        auto end = co_await try_endpoint(call, chosen);
        call.connection.reset();
        if (call.caller_is_gone) {
            end.outcome = attempt_outcome::caller_gone;
        }
        progress.note(end.outcome, end.endpoint_ended);
        reason = end.reason;
        if (end.outcome == attempt_outcome::delivered ||
            end.outcome == attempt_outcome::caller_gone) {
            call.reason = state::to_name(end.outcome);
            if (end.outcome == attempt_outcome::caller_gone) {
                call.outcome = call_outcome::abandoned;
                call.writer.abandon();
            }
            co_return;
        }
        m_dependencies.metrics
            .counter_of("savoryrelay_attempts_failed_total",
                        {{"endpoint", call.service->name},
                         {"outcome", std::string(state::to_name(end.outcome))}})
            .add();
        log_info("attempt_failed", {{"id", call.decoded.id.value()},
                                    {"endpoint", call.endpoint},
                                    {"outcome", std::string(state::to_name(end.outcome))},
                                    {"reason", end.reason}});
        if (end.outcome == attempt_outcome::failed) {
            failure = std::move(end);
        }
    }
    if (call.caller_is_gone) {
        call.writer.abandon();
        call.outcome = call_outcome::abandoned;
        call.reason = "caller_gone";
        co_return;
    }

    // No attempt succeeded. Report a broken stream if events were relayed, else the
    // failure that an endpoint answered, else a refusal.
    if (call.has_relayed_events) {
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
    if (progress.execution() == state::execution_outcome::not_run) {
        co_await refuse(call, status_unavailable, reason, retry_after);
        co_return;
    }
    const bool is_late = time_until(call.deadline, m_dependencies.now()) < deadline_accuracy;
    co_await refuse(call, is_late ? status_timeout : status_bad_gateway, reason, milliseconds(0));
}

asio::awaitable<std::variant<selected_endpoint, coordination::selection_failure>>
serving_front::wait_for_endpoint(call_state& call) {
    if (auto prepared = std::exchange(call.next_endpoint, std::nullopt)) {
        co_return std::move(*prepared);
    }
    const auto started_at = m_dependencies.now();
    const auto max_wait =
        std::min(max_queue_time, std::chrono::duration_cast<milliseconds>(
                                     call.route->first_answer_target * queue_target_share));
    while (true) {
        const auto now = m_dependencies.now();
        auto selected = m_dependencies.selector.select(*call.service, call.decoded, call.tried,
                                                       time_until(call.deadline, now), now);
        if (std::holds_alternative<selected_endpoint>(selected) || now - started_at >= max_wait ||
            call.caller_is_gone) {
            co_return selected;
        }
        co_await pause_for(queue_poll_interval);
    }
}

bool serving_front::leaves_silent_endpoint(call_state& call, const state::runner_record& endpoint) {
    const auto now = m_dependencies.now();
    if (call.caller_is_gone || now >= call.deadline || prepare_next_attempt(call)) {
        return true;
    }
    m_dependencies.report_suspect(endpoint.id);
    const auto known = m_dependencies.fleet.find(endpoint.id);
    // The controller alone may find an endpoint silent because the controller is slow.
    const bool is_lost = !known || (known->silent_since && !known->is_listed(now));
    return is_lost || known->record.started_ms != endpoint.started_ms ||
           (call.service->engine && !known->record.is_head());
}

bool serving_front::prepare_next_attempt(call_state& call) {
    const auto now = m_dependencies.now();
    auto selected = m_dependencies.selector.select(*call.service, call.decoded, call.tried,
                                                   time_until(call.deadline, now), now);
    auto* endpoint = std::get_if<selected_endpoint>(&selected);
    if (endpoint == nullptr || !call.progress->reserve_attempt()) {
        return false;
    }
    call.next_endpoint = std::move(*endpoint);
    return true;
}

asio::awaitable<serving_front::attempt_result>
serving_front::try_endpoint(call_state& call, const selected_endpoint& chosen) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const auto& runner = chosen.runner.record;
    const auto sent_at = m_dependencies.now();
    const auto avoid = [&] {
        m_dependencies.fleet.avoid(runner.id, m_dependencies.now() + avoidance_after_failure);
        m_dependencies.report_suspect(runner.id);
    };
    attempt_result end;

    // Take or open a connection. The request cannot have run before it is sent.
    call.connection = m_pool.take(context, runner.address, runner.port,
                                  call.route->may_run_again() ? endpoint_pool::default_idle_share
                                                              : non_repeatable_idle_share);
    if (call.connection == nullptr) {
        call.connection = std::make_unique<endpoint_connection>(context);
        const auto failed = co_await call.connection->connect(
            runner.address, runner.port,
            std::min(connect_timeout, time_until(call.deadline, sent_at)));
        if (failed) {
            if (!call.caller_is_gone) {
                avoid();
            }
            end.outcome = attempt_outcome::not_run;
            end.reason = "connect: " + failed.message();
            co_return end;
        }
    }
    if (call.caller_is_gone) {
        co_return end;
    }
    endpoint_request_values added_values;
    added_values.endpoint = runner.id;
    added_values.customer = call.customer;
    added_values.last_event = call.last_event;
    if (call.decoded.deadline) {
        added_values.time_left =
            time_until(call.arrived + *call.decoded.deadline, m_dependencies.now());
    } else {
        added_values.time_left = time_until(call.deadline, m_dependencies.now());
    }
    const auto request = m_dependencies.codec.make_endpoint_request(call.request, added_values);
    const double prompt = call.decoded.prompt_tokens;
    bool is_writing = false;
    // Counts the call while it exists, also if an exception ends the attempt.
    std::optional<counted_call> counted;
    counted.emplace(m_dependencies.loads, runner.id, prompt, is_writing);
    if (const auto failed = co_await call.connection->send(request, send_timeout)) {
        end.reason = "send: " + failed.message();
        end.endpoint_ended = failed == asio::error::connection_reset;
        end.closed_by_endpoint = is_closed_by_peer(failed);
    } else if (call.route->kind == state::call_kind::streaming) {
        end = co_await relay_stream(call, chosen, is_writing);
    } else {
        end = co_await relay_answer(call, chosen);
    }
    counted.reset();
    if (end.outcome == attempt_outcome::not_run && call.service->engine) {
        m_dependencies.fleet.note_refusal(runner.id, m_dependencies.now());
    }
    if (end.outcome == attempt_outcome::lost && !call.caller_is_gone) {
        avoid();
        if (end.closed_by_endpoint && !is_writing) {
            const bool still_accepts = co_await keeps_accepting(context, runner);
            report_close(call, runner, still_accepts);
        }
    }
    // A stream that fails before its first event shows nothing.
    if (call.route->kind != state::call_kind::streaming &&
        (end.outcome == attempt_outcome::delivered || end.outcome == attempt_outcome::failed)) {
        m_dependencies.crashes.record_answer(call.fingerprints, m_dependencies.now());
    }
    if (end.outcome == attempt_outcome::delivered || end.outcome == attempt_outcome::failed ||
        end.outcome == attempt_outcome::not_run) {
        // A late copy of an answer without an id could not be told from the next answer.
        if (end.has_request_id && call.connection->reusable()) {
            m_pool.keep(context, runner.address, runner.port, std::move(call.connection));
        }
    }
    co_return end;
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

void serving_front::report_close(const call_state& call, const state::runner_record& endpoint,
                                 bool still_accepts) {
    // Overload and faults of the network end connections too.
    if (!still_accepts) {
        m_dependencies.crashes.record_crash(endpoint.id, endpoint.started_ms, call.fingerprints,
                                            m_dependencies.now());
    }
    m_dependencies.metrics
        .counter_of("savoryrelay_calls_closed_by_endpoint_total",
                    {{"endpoint", call.service->name}})
        .add();
    std::string parts;
    for (const auto& part : call.decoded.shared_prompt_parts) {
        parts += (parts.empty() ? "" : ",") + part;
    }
    std::string fingerprints;
    for (const auto fingerprint : call.fingerprints) {
        fingerprints += (fingerprints.empty() ? "" : ",") + coordination::to_text(fingerprint);
    }
    log_info("closed_by_endpoint", {{"id", call.decoded.id.value()},
                                    {"endpoint", endpoint.id.value()},
                                    {"started_ms", std::to_string(endpoint.started_ms)},
                                    {"accepts_connections", still_accepts ? "yes" : "no"},
                                    {"prompt_parts", parts},
                                    {"fingerprints", fingerprints}});
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
    log_info("call_ended",
             {{"id", call.decoded.id.value()},
              {"route", call.route == nullptr ? "" : call.route->name},
              {"status", std::to_string(call.status)},
              {"reason", call.reason},
              {"endpoint", call.endpoint},
              {"attempts", std::to_string(call.attempts)},
              {"predicted_ms", std::to_string(static_cast<int>(call.predicted_ms))},
              {"first_ms", call.first_byte
                               ? std::to_string(time_until(*call.first_byte, call.arrived).count())
                               : ""},
              {"total_ms", std::to_string(time_until(now, call.arrived).count())},
              {"configuration", std::to_string(call.configuration->version)}});
}

} // namespace savoryrelay::transport
