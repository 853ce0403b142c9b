// The way of one call: route, customer, attempts, and what it came to.
#include "savoryrelay/transport/serving/call_state.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
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

// A way inside a region takes some milliseconds; a connection that is not there
// after this time goes to an endpoint that is dead or cut off.
constexpr milliseconds connect_timeout{250};
constexpr milliseconds send_timeout{1'000};
// A caller without a deadline, on a route without a time-out, waits this long.
constexpr milliseconds default_deadline{30'000};
// The endpoint is left alone for this long after it did not answer.
constexpr milliseconds avoid_after_failure{500};
// Part of the idle time of a kept connection that a call which may not be
// repeated relies on; an early close by the peer would leave its outcome open.
constexpr double idle_share_not_repeatable = 0.25;
// A wait that was bounded by the deadline ends a little before or after it.
constexpr milliseconds deadline_accuracy{20};
// A call waits for a place for this part of its target at most. A refusal costs
// a caller more the longer the call was held.
constexpr double queue_target_share = 0.3;
constexpr milliseconds longest_queue{200};
constexpr milliseconds queue_step{20};
// How long a call waits on a host that has just started and knows no configuration.
constexpr milliseconds start_wait{250};
// When a refused caller should come back: a group forms by then.
constexpr milliseconds come_back_soon{1'000};
constexpr milliseconds come_back_later{500};
constexpr milliseconds come_back_no_configuration{300};

constexpr double ms_per_s = 1'000;

} // namespace

serving_front::serving_front(serving_parts parts) : m_parts(std::move(parts)) {}

asio::awaitable<void> serving_front::handle(http_request request, response_writer& writer) {
    call_state call(std::move(request), writer);
    call.arrived = m_parts.now();
    call.call = m_parts.codec.decode_call(call.request);
    call.configuration = m_parts.configuration();

    while (call.configuration->version == 0 && m_parts.now() - call.arrived < start_wait) {
        co_await pause_for(queue_step);
        call.configuration = m_parts.configuration();
    }
    if (call.configuration->version == 0) {
        co_await refuse(call, status_unavailable, "no_configuration", come_back_no_configuration);
        co_return;
    }
    call.route = call.configuration->find_route(call.call.host, call.call.path);
    if (call.route == nullptr) {
        co_await refuse(call, status_not_found, "no_route", milliseconds(0));
        co_return;
    }
    if (!call.route->is_public && !call.configuration->customers.empty()) {
        const auto* customer = call.configuration->find_customer(call.call.key);
        if (customer == nullptr) {
            co_await refuse(call, status_unauthorized, "unknown_key", milliseconds(0));
            co_return;
        }
        call.customer = customer->id.value();
    }

    // One of the route's services, the same for each repeat of the call's id.
    double total = 0;
    for (const auto& share : call.route->services) {
        total += share.weight;
    }
    constexpr std::size_t steps = 10'000;
    double place = total *
                   static_cast<double>(std::hash<std::string>{}(call.call.id.value()) % steps) /
                   static_cast<double>(steps);
    std::string service = call.route->services.back().service;
    for (const auto& share : call.route->services) {
        if (place < share.weight) {
            service = share.service;
            break;
        }
        place -= share.weight;
    }
    const auto found = call.configuration->services.find(service);
    if (found == call.configuration->services.end()) {
        co_await refuse(call, status_unavailable, "unknown_service", come_back_later);
        co_return;
    }
    call.service = &found->second;

    auto wait = call.call.deadline.value_or(default_deadline);
    if (call.route->timeout.count() > 0) {
        wait = std::min(wait, call.route->timeout);
    }
    call.deadline = call.arrived + wait;
    if (call.call.last_event) {
        call.events.continue_after(*call.call.last_event);
    }
    writer.on_caller_gone([&call] {
        call.caller_is_gone = true;
        if (call.connection != nullptr) {
            call.connection->close();
        }
    });
    co_await serve(call);
    writer.on_caller_gone(nullptr);
    note_end(call);
}

asio::awaitable<void> serving_front::serve(call_state& call) {
    m_parts.repeats.note_call(call.service->name, call.arrived);
    if (call.service->engine) {
        if (const auto* model = call.service->engine->find_model(call.call.model)) {
            m_parts.note_work(model->name,
                              coordination::call_work_ms(*call.service->engine, *model, call.call));
        }
    }
    coordination::call_progress progress(
        *call.route, [&] { return m_parts.repeats.take(call.service->name, m_parts.now()); });
    std::optional<attempt_end> failure;
    std::string reason;
    while (progress.may_retry()) {
        const auto now = m_parts.now();
        if (call.caller_is_gone) {
            call.outcome = call_outcome::abandoned;
            call.reason = "caller_gone";
            co_return;
        }
        const auto left = until(call.deadline, now);
        if (left <= milliseconds(0)) {
            reason = "deadline";
            break;
        }
        const auto selected = co_await select_in_time(call);
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
        m_parts.metrics
            .counter_of("savoryrelay_attempts_failed_total",
                        {{"endpoint", call.service->name},
                         {"outcome", std::string(state::to_name(end.outcome))}})
            .add();
        log_change("attempt_failed", {{"id", call.call.id.value()},
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

    // Give the truest answer that there is.
    if (call.has_events) {
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
        co_await refuse(call, status_unavailable, reason, come_back_soon);
        co_return;
    }
    const bool is_late = until(call.deadline, m_parts.now()) < deadline_accuracy;
    co_await refuse(call, is_late ? status_timeout : status_bad_gateway, reason, milliseconds(0));
}

asio::awaitable<std::variant<selected_endpoint, coordination::selection_failure>>
serving_front::select_in_time(call_state& call) {
    const auto begun = m_parts.now();
    const auto longest =
        std::min(longest_queue, std::chrono::duration_cast<milliseconds>(
                                    call.route->first_answer_target * queue_target_share));
    while (true) {
        const auto now = m_parts.now();
        auto selected = m_parts.selector.select(*call.service, call.call, call.tried,
                                                until(call.deadline, now), now);
        if (std::holds_alternative<selected_endpoint>(selected) || now - begun >= longest ||
            call.caller_is_gone) {
            co_return selected;
        }
        co_await pause_for(queue_step);
    }
}

asio::awaitable<serving_front::attempt_end>
serving_front::try_endpoint(call_state& call, const selected_endpoint& chosen) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const auto& runner = chosen.runner.record;
    const auto sent_at = m_parts.now();
    const auto avoid = [&] {
        m_parts.fleet.avoid(runner.id, m_parts.now() + avoid_after_failure);
        m_parts.note_suspect(runner.id);
    };
    attempt_end end;

    // Take a connection. Until the request is sent it has certainly not run.
    call.connection = m_pool.take(context, runner.address, runner.port,
                                  call.route->may_repeat() ? endpoint_pool::usual_idle_share
                                                           : idle_share_not_repeatable);
    if (call.connection == nullptr) {
        call.connection = std::make_unique<endpoint_connection>(context);
        const auto failed = co_await call.connection->connect(
            runner.address, runner.port, std::min(connect_timeout, until(call.deadline, sent_at)));
        if (failed) {
            avoid();
            end.outcome = attempt_outcome::not_run;
            end.reason = "connect: " + failed.message();
            co_return end;
        }
    }
    if (call.caller_is_gone) {
        co_return end;
    }
    endpoint_call addition;
    addition.endpoint = runner.id;
    addition.customer = call.customer;
    addition.last_event = call.last_event;
    if (call.call.deadline) {
        addition.time_left = until(call.arrived + *call.call.deadline, m_parts.now());
    } else {
        addition.time_left = until(call.deadline, m_parts.now());
    }
    const auto request = m_parts.codec.make_endpoint_request(call.request, addition);
    const double prompt = call.call.prompt_tokens;
    m_parts.loads.begin(runner.id, prompt);
    bool is_writing = false;
    if (const auto failed = co_await call.connection->send(request, send_timeout)) {
        end.reason = "send: " + failed.message();
        end.endpoint_ended = failed == asio::error::connection_reset;
    } else if (call.route->kind == state::call_kind::streaming) {
        end = co_await relay_stream(call, chosen, is_writing);
    } else {
        end = co_await relay_answer(call, chosen);
    }
    m_parts.loads.end(runner.id, prompt, is_writing);
    if (end.outcome == attempt_outcome::not_run && call.service->engine) {
        m_parts.fleet.note_refusal(runner.id, m_parts.now());
    }
    if (end.outcome == attempt_outcome::lost && !call.caller_is_gone) {
        avoid();
    }
    if (end.outcome == attempt_outcome::delivered || end.outcome == attempt_outcome::failed ||
        end.outcome == attempt_outcome::not_run) {
        if (call.connection->reusable()) {
            m_pool.keep(context, runner.address, runner.port, std::move(call.connection));
        }
    }
    co_return end;
}

asio::awaitable<void> serving_front::refuse(call_state& call, unsigned status, std::string reason,
                                            milliseconds come_back) {
    call.status = status;
    call.outcome = status == status_unavailable ? call_outcome::refused : call_outcome::failed;
    call.reason = reason;
    auto fields = content_type_field("application/json");
    fields.push_back(m_parts.codec.request_id_field(call.call.id));
    if (come_back.count() > 0) {
        fields.push_back(m_parts.codec.come_back_after(come_back));
    }
    if (co_await call.writer.send(status, std::move(fields),
                                  R"({"error":{"kind":")" + reason + R"("}})")) {
        call.writer.abandon();
    }
    if (call.service == nullptr) {
        note_end(call);
    }
}

void serving_front::note_end(const call_state& call) const {
    const auto now = m_parts.now();
    const std::string kind(call.route == nullptr ? "none" : state::to_name(call.route->kind));
    const std::string endpoint = call.service == nullptr ? "none" : call.service->name;
    // Only the part that comes from a fixed set of words.
    const auto reason = call.reason.substr(0, call.reason.find(':'));
    m_parts.metrics
        .counter_of("savoryrelay_calls_total",
                    {{"kind", kind},
                     {"endpoint", endpoint},
                     {"outcome", std::string(state::to_name(call.outcome))},
                     {"reason", reason}})
        .add();
    const auto seconds = [&](state::time_point at) {
        return static_cast<double>(until(at, call.arrived).count()) / ms_per_s;
    };
    const state::metric_labels labels{{"kind", kind}, {"endpoint", endpoint}};
    if (call.first_byte) {
        m_parts.metrics.latency_of("savoryrelay_first_answer_seconds", labels)
            .record(seconds(*call.first_byte));
    }
    m_parts.metrics.latency_of("savoryrelay_call_seconds", labels).record(seconds(now));
    log_change(
        "call_ended",
        {{"id", call.call.id.value()},
         {"route", call.route == nullptr ? "" : call.route->name},
         {"status", std::to_string(call.status)},
         {"reason", call.reason},
         {"endpoint", call.endpoint},
         {"attempts", std::to_string(call.attempts)},
         {"predicted_ms", std::to_string(static_cast<int>(call.predicted_ms))},
         {"first_ms",
          call.first_byte ? std::to_string(until(*call.first_byte, call.arrived).count()) : ""},
         {"total_ms", std::to_string(until(now, call.arrived).count())},
         {"configuration", std::to_string(call.configuration->version)}});
}

} // namespace savoryrelay::transport
