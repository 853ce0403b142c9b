// Attempts of one call at its endpoints: selects the endpoint, sends the request, keeps a
// silent attempt while another endpoint is tried, and notes how an attempt ended.
#include "savoryrelay/transport/serving/call_state.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using coordination::attempt_outcome;
using coordination::selected_endpoint;
using state::milliseconds;

namespace {

constexpr milliseconds send_timeout{1'000};
// An endpoint that did not answer gets no call for this long.
constexpr milliseconds avoidance_after_failure{500};
// A call that may not be repeated uses an idle connection only during this fraction
// of the peer's keep-alive timeout. If the peer closed the connection early, the
// outcome of the call would be unknown.
constexpr double non_repeatable_idle_share = 0.25;
constexpr milliseconds queue_poll_interval{20};
// A waiting call asks an endpoint that has named a rate of calls this often.
constexpr milliseconds limited_poll_interval{1'000};
// The loss of a group interrupts many streams at once.
constexpr milliseconds interrupted_poll_interval{100};

} // namespace

asio::awaitable<std::variant<selected_endpoint, coordination::selection_failure>>
serving_front::wait_for_endpoint(call_state& call) {
    if (auto prepared = std::exchange(call.next_endpoint, std::nullopt)) {
        co_return std::move(*prepared);
    }
    auto& progress = *call.progress;
    const bool has_begun = progress.has_answer_begun();
    const auto queue_deadline =
        progress.queue_deadline(call.interrupted_at.value_or(m_dependencies.now()));
    const auto* excluded = &call.tried;
    state::time_point limited_asked_at{};
    while (true) {
        const auto now = m_dependencies.now();
        const bool asks_limited = now - limited_asked_at >= limited_poll_interval;
        limited_asked_at = asks_limited ? now : limited_asked_at;
        const auto limits = placement_limits_of(call);
        auto selected = m_dependencies.selector.select(
            *call.service, call.decoded, *excluded, time_until(call.deadline, now), now, limits,
            asks_limited ? coordination::limited_endpoints::ask
                         : coordination::limited_endpoints::leave_out);
        const bool is_found = std::holds_alternative<selected_endpoint>(selected) &&
                              (!has_begun || progress.reserve_attempt());
        const auto wait_end = std::min(queue_deadline, call.deadline);
        const auto* none = std::get_if<coordination::selection_failure>(&selected);
        const bool is_short =
            none != nullptr &&
            (*none == coordination::selection_failure::none_in_time ||
             (*none == coordination::selection_failure::all_limited && !has_begun));
        if (is_found || is_short || now >= wait_end || call.caller_is_gone) {
            co_return selected;
        }
        if (none != nullptr && *none == coordination::selection_failure::all_paused && !has_begun) {
            const auto paused_until =
                m_dependencies.selector.paused_until(*call.service, call.decoded, now);
            if (paused_until && *paused_until >= wait_end) {
                co_return selected;
            }
        }
        co_await pause_for(has_begun ? interrupted_poll_interval : queue_poll_interval);
        if (has_begun) {
            excluded = &call.may_have_run_at; // an endpoint that refused may serve by now
        }
    }
}

coordination::silence_step serving_front::handle_silence(call_state& call) {
    const auto now = m_dependencies.now();
    const auto& endpoint = call.current->chosen.runner.record;
    return coordination::decide_on_silence(
        {.is_over = [&] { return call.caller_is_gone || now >= call.deadline; },
         .has_kept_answer =
             [&] {
                 return std::any_of(call.kept.begin(), call.kept.end(), [](const auto& attempt) {
                     return attempt->connection->has_unread_bytes();
                 });
             },
         .prepare_next = [&] { return prepare_next_attempt(call); },
         .is_lost =
             [&] {
                 m_dependencies.connector.note_doubt();
                 m_dependencies.report_suspect(endpoint.id);
                 const auto known = m_dependencies.fleet.find(endpoint.id);
                 return !known || known->has_dropped_calls(endpoint.started_ms,
                                                           call.service->engine.has_value(), now);
             }});
}

bool serving_front::prepare_next_attempt(call_state& call) {
    const auto now = m_dependencies.now();
    if (m_dependencies.crashes.time_quarantined(call.fingerprints, now)) {
        return false;
    }
    auto selected = m_dependencies.selector.select(*call.service, call.decoded, call.tried,
                                                   time_until(call.deadline, now), now);
    auto* endpoint = std::get_if<selected_endpoint>(&selected);
    if (endpoint == nullptr || !call.progress->reserve_attempt()) {
        return false;
    }
    call.next_endpoint = std::move(*endpoint);
    return true;
}

bool serving_front::return_to_kept_attempt(call_state& call) {
    if (call.kept.empty() || call.next_endpoint) {
        return false;
    }
    auto returned = std::find_if(call.kept.begin(), call.kept.end(), [](const auto& attempt) {
        return attempt->connection->has_unread_bytes();
    });
    if (returned == call.kept.end()) {
        if (prepare_next_attempt(call)) {
            return false;
        }
        returned = call.kept.begin();
    }
    call.current = std::move(*returned);
    call.kept.erase(returned);
    call.events = std::move(call.current->kept_events);
    call.endpoint = call.current->chosen.runner.record.id.value();
    call.predicted_ms = call.current->chosen.predicted_first_event_ms;
    return true;
}

void serving_front::end_kept_attempts(call_state& call) {
    for (const auto& attempt : std::exchange(call.kept, {})) {
        attempt_result end;
        end.reason = "silent";
        call.progress->note(end.outcome, coordination::endpoint_end::none);
        if (attempt->is_writing) {
            call.broke_off.push_back(attempt->chosen.runner.record);
        }
        if (attempt->connection->is_closed_by_peer()) {
            call.closed_while_kept.push_back(attempt->chosen.runner.record);
        }
        report_failed_attempt(call, *attempt, end);
    }
}

bool serving_front::may_send(const call_state& call) const {
    const auto now = m_dependencies.now();
    return call.current->chosen.is_valid(now) && now < call.deadline &&
           !m_dependencies.crashes.is_quarantined(call.fingerprints, now);
}

bool serving_front::is_unwanted(const call_state& call) const {
    const auto& endpoint = call.current->chosen.runner.record;
    const auto known = m_dependencies.fleet.find(endpoint.id);
    return known && known->record.started_ms == endpoint.started_ms &&
           known->wants_no_calls(m_dependencies.now());
}

asio::awaitable<serving_front::attempt_result> serving_front::try_endpoint(call_state& call) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    auto& attempt = *call.current;
    const auto& runner = attempt.chosen.runner.record;
    attempt_result end;

    // Take or open a connection. The request cannot have run before it is sent.
    const connection_use use{
        .idle_share = call.route->may_run_again() ? connection_use::default_idle_share
                                                  : non_repeatable_idle_share,
        .request = call.decoded.id,
        .path = m_dependencies.connector.path(),
    };
    attempt.connection = m_pool.take(context, runner.address, runner.port, use);
    attempt.origin =
        attempt.connection == nullptr ? connection_origin::opened : connection_origin::reused;
    if (attempt.connection == nullptr) {
        attempt.connection = std::make_unique<endpoint_connection>(context);
        const auto failed = co_await m_dependencies.connector.open(
            *attempt.connection, runner, time_until(call.deadline, m_dependencies.now()));
        if (failed) {
            if (!call.caller_is_gone && !endpoint_connector::is_own_failure(failed)) {
                avoid(runner.id);
            }
            end.outcome = attempt_outcome::not_run;
            end.reason = "connect: " + failed.message();
            co_return end;
        }
    }
    if (call.caller_is_gone) {
        co_return end;
    }
    if (is_unwanted(call)) {
        call.tried.erase(runner.id);
        end.is_withdrawn = true;
        end.outcome = attempt_outcome::not_run;
        end.reason = "the endpoint wants no calls";
        co_return end;
    }
    if (!may_send(call)) {
        call.tried.erase(runner.id);
        end.outcome = attempt_outcome::not_run;
        end.reason = "the choice of the endpoint is outdated";
        co_return end;
    }
    endpoint_request_values added_values;
    added_values.endpoint = runner.id;
    added_values.customer = call.customer;
    added_values.last_event = call.last_event;
    if (call.model != nullptr) {
        added_values.urgency = call.decoded.urgency;
    }
    attempt.is_continued = call.last_event || call.decoded.last_event;
    if (call.decoded.deadline) {
        added_values.time_left =
            time_until(call.arrived + *call.decoded.deadline, m_dependencies.now());
    } else {
        added_values.time_left = time_until(call.deadline, m_dependencies.now());
    }
    const auto request = m_dependencies.codec.make_endpoint_request(call.request, added_values);
    attempt.counted.emplace(m_dependencies.loads, runner.id, call.decoded.prompt_tokens,
                            attempt.is_writing);
    attempt.sent_at = m_dependencies.now();
    if (const auto failed = co_await attempt.connection->send(request, send_timeout)) {
        end.set_failed("send", failed);
    } else if (call.route->kind == state::call_kind::streaming) {
        end = co_await relay_stream(call, false);
    } else {
        end = co_await relay_answer(call);
    }
    co_await conclude_attempt(call, end, context);
    co_return end;
}

asio::awaitable<serving_front::attempt_result> serving_front::resume_attempt(call_state& call) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    auto end = co_await relay_stream(call, true);
    co_await conclude_attempt(call, end, context);
    co_return end;
}

asio::awaitable<void> serving_front::conclude_attempt(call_state& call, attempt_result& end,
                                                      asio::io_context& context) {
    auto& attempt = *call.current;
    // The process that has ended may be the other host's.
    end.endpoint_ended = end.endpoint_ended && !attempt.connection->is_relayed();
    const auto& runner = attempt.chosen.runner.record;
    if (end.is_kept) {
        avoid(runner.id);
        co_return;
    }
    attempt.counted.reset();
    if (end.outcome == attempt_outcome::not_run && call.service->engine) {
        m_dependencies.fleet.note_refusal(runner.id, m_dependencies.now());
    } else if (end.is_other_endpoint) {
        m_dependencies.fleet.note_misdirected(runner.id, m_dependencies.now());
    }
    if (end.outcome == attempt_outcome::lost && !call.caller_is_gone) {
        avoid(runner.id);
    }
    co_await record_crash_evidence(call, end, context);
    if (end.outcome == attempt_outcome::delivered || end.outcome == attempt_outcome::failed ||
        end.outcome == attempt_outcome::not_run) {
        if (end.outcome != attempt_outcome::delivered) {
            attempt.connection->note_repeatable(call.decoded.id);
        }
        // A late copy of an answer without an id could not be told from the next answer.
        if (end.has_request_id && attempt.connection->reusable()) {
            m_pool.keep(context, runner.address, runner.port, std::move(attempt.connection));
        }
    }
}

void serving_front::avoid(const state::endpoint_id& endpoint) {
    const auto now = m_dependencies.now();
    m_dependencies.fleet.avoid(endpoint, now, now + avoidance_after_failure);
    m_dependencies.connector.note_doubt();
    m_dependencies.report_suspect(endpoint);
}

void serving_front::report_failed_attempt(const call_state& call, const open_attempt& attempt,
                                          const attempt_result& end) {
    m_dependencies.metrics
        .counter_of("savoryrelay_attempts_failed_total",
                    {{"endpoint", call.service->name},
                     {"outcome", std::string(state::to_name(end.outcome))}})
        .add();
    const auto& runner = attempt.chosen.runner.record;
    log_info("attempt_failed",
             {{"id", call.decoded.id.value()},
              {"endpoint", runner.id.value()},
              {"address", runner.address + ":" + std::to_string(runner.port)},
              {"connection", std::string(state::to_name(attempt.origin))},
              {"path", attempt.connection == nullptr
                           ? ""
                           : std::string(state::to_name(attempt.connection->path()))},
              {"outcome", std::string(state::to_name(end.outcome))},
              {"reason", end.reason}});
}

} // namespace savoryrelay::transport
