// The relay of an endpoint's answer to the caller: whole answers of plain
// services, and event streams as they come.
#include "savoryrelay/transport/serving/call_state.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::attempt_outcome;
using coordination::selected_endpoint;
using state::milliseconds;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_server_error = 500;

constexpr std::size_t read_buffer_bytes = 16 * 1024;
// Answers of plain services are read whole, so that a broken one can be repeated.
constexpr std::size_t max_whole_answer_bytes = 16 * 1024 * 1024;
// Streams: silence that is allowed beyond the predicted first event, and
// between events, before another group is asked.
constexpr milliseconds first_event_margin{400};
constexpr milliseconds least_event_gap{400};
constexpr double gap_targets = 2;

} // namespace

asio::awaitable<serving_front::attempt_end> serving_front::take_whole_answer(call_state& call) {
    attempt_end end;
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto [failed, size] = co_await call.connection->read_some(
            asio::buffer(buffer), std::max(milliseconds(1), until(call.deadline, m_parts.now())));
        if (failed || end.body.size() + size > max_whole_answer_bytes) {
            end.reason = "answer is not whole: " + failed.message();
            end.endpoint_ended = failed == asio::error::connection_reset;
            co_return end;
        }
        if (size == 0) {
            end.outcome = attempt_outcome::delivered;
            co_return end;
        }
        end.body.append(buffer.data(), size);
    }
}

asio::awaitable<serving_front::attempt_end> serving_front::relay_answer(call_state& call,
                                                                        const selected_endpoint&) {
    // Answers to earlier requests on this connection may still come; each names
    // the request that it belongs to.
    constexpr int max_foreign_answers = 3;
    for (int i = 0; i <= max_foreign_answers; ++i) {
        if (const auto failed = co_await call.connection->read_header(
                std::max(milliseconds(1), until(call.deadline, m_parts.now())))) {
            attempt_end end;
            end.reason = "no answer: " + failed.message();
            end.endpoint_ended = failed == asio::error::connection_reset;
            co_return end;
        }
        const auto status = call.connection->status();
        const auto fields = call.connection->fields();
        const auto head = m_parts.codec.decode_answer(status, fields);
        auto end = co_await take_whole_answer(call);
        if (end.outcome != attempt_outcome::delivered) {
            co_return end;
        }
        if (head.request_id != call.call.id.value() && !head.is_not_run) {
            call.connection->expect_another_answer();
            continue;
        }
        end.status = status;
        end.fields = m_parts.codec.caller_fields(fields);
        if (head.is_not_run) {
            end.outcome = attempt_outcome::not_run;
            end.reason = "refused with " + std::to_string(status);
            co_return end;
        }
        if (status >= status_server_error) {
            end.outcome = attempt_outcome::failed;
            end.reason = "status " + std::to_string(status);
            co_return end;
        }
        call.status = status;
        call.first_byte = m_parts.now();
        if (co_await call.writer.send(status, std::move(end.fields), end.body)) {
            call.writer.abandon();
        }
        co_return end;
    }
    attempt_end end;
    end.reason = "only answers to other requests";
    co_return end;
}

asio::awaitable<serving_front::attempt_end>
serving_front::relay_stream(call_state& call, const selected_endpoint& chosen, bool& is_writing) {
    attempt_end end;
    const auto sent_at = m_parts.now();
    const auto failed_with = [&](std::string reason, const error_code& failed) {
        end.reason = std::move(reason) + ": " + failed.message();
        end.endpoint_ended = failed == asio::error::connection_reset;
        return end;
    };
    const auto bounded = [&](milliseconds span) {
        return std::clamp(span, milliseconds(1),
                          std::max(milliseconds(1), until(call.deadline, m_parts.now())));
    };
    const auto first_limit =
        std::max(milliseconds(static_cast<std::int64_t>(2 * chosen.predicted_first_event_ms)),
                 call.route->first_answer_target) +
        first_event_margin;
    const auto gap_limit = std::max(
        least_event_gap,
        std::chrono::duration_cast<milliseconds>(call.route->event_gap_target * gap_targets));

    if (const auto failed = co_await call.connection->read_header(bounded(first_limit))) {
        co_return failed_with("no answer", failed);
    }
    const auto status = call.connection->status();
    const auto fields = call.connection->fields();
    const auto head = m_parts.codec.decode_answer(status, fields);
    if (status != status_ok || head.request_id != call.call.id.value()) {
        end = co_await take_whole_answer(call);
        if (end.outcome != attempt_outcome::delivered) {
            co_return end;
        }
        if (head.request_id != call.call.id.value() && !head.is_not_run) {
            end.outcome = attempt_outcome::lost;
            end.reason = "an answer to another request";
            co_return end;
        }
        end.status = status;
        end.fields = m_parts.codec.caller_fields(fields);
        end.outcome = head.is_not_run ? attempt_outcome::not_run : attempt_outcome::failed;
        end.reason = "status " + std::to_string(status);
        if (end.outcome == attempt_outcome::not_run && !head.faulty_runner.empty()) {
            m_parts.note_suspect(state::endpoint_id(head.faulty_runner));
        }
        co_return end;
    }

    // Relay whole events as they come. The head is sent with the first of them,
    // so that until then another endpoint's answer can take its place.
    call.events.resume();
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto limit = is_writing ? gap_limit : first_limit;
        const auto [failed, size] =
            co_await call.connection->read_some(asio::buffer(buffer), bounded(limit));
        if (failed) {
            co_return failed_with(is_writing ? "stream broke off" : "no event", failed);
        }
        if (size == 0) {
            if (call.events.has_partial_event()) {
                end.reason = "the last event is not whole";
                co_return end;
            }
            break;
        }
        m_parts.fleet.note_answer(chosen.runner.record.id, m_parts.now());
        const std::string_view received(buffer.data(), size);
        const auto taken = state::collect([&] { return call.events.append(received); });
        if (!taken) {
            end.reason = taken.error().message();
            co_return end;
        }
        const auto ready = call.events.take();
        if (ready.empty()) {
            continue;
        }
        if (!is_writing) {
            is_writing = true;
            m_parts.correction.learn(call.call.model, chosen.uncorrected_first_event_ms,
                                     static_cast<double>(until(m_parts.now(), sent_at).count()));
            m_parts.loads.note_first_event(chosen.runner.record.id, call.call.prompt_tokens);
        }
        if (!call.writer.started()) {
            call.status = status;
            call.first_byte = m_parts.now();
            if (co_await call.writer.start(status, m_parts.codec.caller_fields(fields))) {
                call.caller_is_gone = true;
                co_return end;
            }
        }
        call.has_events = true;
        if (call.events.next_token() > 0) {
            call.last_event = call.events.next_token() - 1;
        }
        if (co_await call.writer.write(ready)) {
            call.caller_is_gone = true;
            co_return end;
        }
    }
    if (!call.writer.started()) {
        call.status = status;
        co_await call.writer.start(status, m_parts.codec.caller_fields(fields));
    }
    if (co_await call.writer.finish()) {
        call.writer.abandon();
    }
    end.outcome = attempt_outcome::delivered;
    co_return end;
}

} // namespace savoryrelay::transport
