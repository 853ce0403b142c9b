// Relays an endpoint's answer to the caller: answers of plain services as a
// whole, and event streams event by event.
#include "savoryrelay/coordination/serving/answer_verdict.h"
#include "savoryrelay/transport/serving/call_state.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::attempt_outcome;
using coordination::silence_step;
using state::milliseconds;

namespace {

constexpr unsigned status_ok = 200;

constexpr std::size_t read_buffer_bytes = 16 * 1024;
// The answer of a plain service is read completely before any of it is sent to
// the caller, so that the call can be repeated if the answer breaks off.
constexpr std::size_t max_whole_answer_bytes = 16 * 1024 * 1024;
// An answer in a buffer of this size is part of what is held for each connection.
constexpr std::size_t unlent_answer_bytes = 2 * read_buffer_bytes;
// Time limits of streams. If an endpoint exceeds one, the call goes to another
// group if one can take it. The limit of the first event is `first_event_margin` plus the larger of
// twice the predicted time and the route's target. The limit of the pause between
// two events is `event_gap_factor` times the route's target, but at least
// `min_event_gap_limit`.
constexpr milliseconds first_event_margin{400};
constexpr milliseconds min_event_gap_limit{400};
constexpr double event_gap_factor = 2;
// Interval of the check whether a call leaves an endpoint that has exceeded its limit.
constexpr milliseconds silence_check_interval{200};
// A runner that ends the chunks of a stream too early goes on at the pace of its events.
constexpr milliseconds max_end_wait{100};
constexpr int max_mismatched_answers = 3;
constexpr auto unconfirmed_end = "the end of the answer may be that of a relay";
// A read that only the deadline of its call limits.
constexpr milliseconds max_read_time = milliseconds::max();

// Answers to earlier requests may still arrive on a connection. Each answer carries the id
// of its request, except that an endpoint may reject a request without its id.
bool belongs_to(const state::answer_head& answer, const state::request_id& request) {
    return answer.request_id == request.value() || (answer.is_not_run && answer.request_id.empty());
}

std::string reason_of(const coordination::answer_verdict& verdict, unsigned status) {
    const auto number = std::to_string(status);
    if (verdict.outcome == attempt_outcome::withheld) {
        return "answer withheld: status " + number + ", " +
               std::string(state::to_name(verdict.defect));
    }
    return (verdict.outcome == attempt_outcome::not_run ? "refused with " : "status ") + number;
}

// Returns the length of the body that the fields state, or 0.
std::size_t stated_length(const http_fields& fields) {
    std::size_t length = 0;
    for (const auto& field : fields) {
        if (boost::beast::iequals(field.name, "Content-Length")) {
            std::from_chars(field.value.data(), field.value.data() + field.value.size(), length);
        }
    }
    return std::min(length, max_whole_answer_bytes);
}

bool is_head(const http_request& request) {
    return request.method() == boost::beast::http::verb::head;
}

} // namespace

milliseconds serving_front::bounded_by_deadline(const call_state& call, milliseconds span) const {
    const auto left = time_until(call.deadline, m_dependencies.now());
    return std::max(milliseconds(1), std::min(span, left));
}

serving_front::stream_limits serving_front::stream_limits_of(const call_state& call) {
    const auto predicted =
        milliseconds(static_cast<std::int64_t>(2 * call.current->chosen.predicted_first_event_ms));
    const auto gap =
        std::chrono::duration_cast<milliseconds>(call.route->event_gap_target * event_gap_factor);
    return {std::max(predicted, call.route->first_answer_target) + first_event_margin,
            std::max(min_event_gap_limit, gap)};
}

state::answer_head serving_front::read_answer_head(const call_state& call) {
    const auto& connection = *call.current->connection;
    auto answer = m_dependencies.codec.decode_answer(connection.status(), connection.fields());
    m_dependencies.report_answer(call.current->chosen.runner.record, answer);
    return answer;
}

bool serving_front::take_own_answer(const call_state& call, const state::answer_head& answer) {
    if (!belongs_to(answer, call.decoded.id)) {
        return false;
    }
    m_dependencies.report_call_rate(call.current->chosen.runner.record, answer,
                                    call.current->sent_at);
    return true;
}

asio::awaitable<serving_front::attempt_result> serving_front::read_whole_answer(call_state& call) {
    attempt_result end;
    std::vector<char> buffer(read_buffer_bytes);
    coordination::reading_limit reading(call.deadline);
    // Room for the length that the answer states, or for twice what has arrived.
    const auto stated =
        is_head(call.request) ? 0 : stated_length(call.current->connection->fields());
    std::size_t lent = 0;
    while (true) {
        if (end.body.size() + buffer.size() > lent && end.body.size() < max_whole_answer_bytes) {
            const auto room = std::min(max_whole_answer_bytes + buffer.size(),
                                       std::max(stated + buffer.size(), 2 * end.body.size()));
            if (room > unlent_answer_bytes) {
                const bool is_lent = co_await call.writer.borrow(room - lent);
                if (!is_lent) {
                    end.reason = "no memory for the answer";
                    co_return end;
                }
            }
            lent = room;
            end.body.reserve(room);
        }
        if (reading.is_over(m_dependencies.now())) {
            end.reason = "answer is not whole at the deadline";
            co_return end;
        }
        const auto [failed, size] = co_await call.current->connection->read_some(
            asio::buffer(buffer), bounded_by_deadline(call, max_read_time));
        if (failed || end.body.size() + size > max_whole_answer_bytes) {
            end.set_failed("answer is not whole", failed);
            co_return end;
        }
        if (size == 0) {
            const bool is_whole = co_await m_dependencies.connector.confirm_end(
                *call.current->connection, call.current->chosen.runner.record);
            end.outcome = is_whole ? attempt_outcome::delivered : attempt_outcome::lost;
            end.reason = is_whole ? "" : unconfirmed_end;
            co_return end;
        }
        end.body.append(buffer.data(), size);
    }
}

asio::awaitable<serving_front::attempt_result> serving_front::relay_answer(call_state& call) {
    for (int i = 0; i <= max_mismatched_answers; ++i) {
        if (const auto failed = co_await call.current->connection->read_header(
                bounded_by_deadline(call, max_read_time))) {
            attempt_result end;
            end.set_failed("no answer", failed);
            co_return end;
        }
        const auto status = call.current->connection->status();
        const auto fields = call.current->connection->fields();
        const auto answer = read_answer_head(call);
        const bool is_own = take_own_answer(call, answer);
        if (is_own && is_head(call.request)) {
            call.current->connection->skip_body();
        }
        auto end = co_await read_whole_answer(call);
        if (end.outcome != attempt_outcome::delivered) {
            co_return end;
        }
        if (!is_own) {
            call.current->connection->expect_another_answer();
            continue;
        }
        end.status = status;
        end.fields = m_dependencies.codec.select_caller_fields(fields);
        if (const auto length = call.current->connection->header("Content-Length");
            is_head(call.request) && !length.empty()) {
            end.fields.push_back({"Content-Length", length});
        }
        end.has_request_id = !answer.request_id.empty();
        end.is_other_endpoint = answer.is_other_endpoint;
        const auto verdict = coordination::judge_answer(answer);
        end.outcome = verdict.outcome;
        if (end.outcome == attempt_outcome::delivered || end.outcome == attempt_outcome::failed) {
            m_dependencies.fleet.note_answer(call.current->chosen.runner.record.id,
                                             m_dependencies.now());
        }
        if (end.outcome != attempt_outcome::delivered) {
            end.reason = reason_of(verdict, status);
            co_return end;
        }
        call.status = status;
        call.first_byte = m_dependencies.now();
        if (co_await call.writer.send(status, std::move(end.fields), end.body)) {
            call.writer.abandon();
        }
        co_return end;
    }
    attempt_result end;
    end.reason = "only answers to other requests";
    co_return end;
}

asio::awaitable<std::optional<serving_front::attempt_result>>
serving_front::read_stream_header(call_state& call, milliseconds first_limit) {
    attempt_result end;
    auto& attempt = *call.current;
    auto& connection = *attempt.connection;
    for (int skipped = 0; !attempt.has_header; ++skipped) {
        auto failed = co_await connection.read_header(bounded_by_deadline(call, first_limit));
        while (failed == asio::error::operation_aborted) {
            const auto step = handle_silence(call);
            if (step == silence_step::hand_over) {
                end.is_kept = true;
                co_return end;
            }
            if (step == silence_step::give_up) {
                break;
            }
            failed =
                co_await connection.read_header(bounded_by_deadline(call, silence_check_interval));
        }
        if (failed) {
            end.set_failed("no answer", failed);
            co_return end;
        }
        if (take_own_answer(call, read_answer_head(call))) {
            attempt.has_header = true;
            call.events.resume();
            if (is_head(call.request)) {
                connection.skip_body();
            }
            continue;
        }
        auto other = co_await read_whole_answer(call);
        if (other.outcome != attempt_outcome::delivered) {
            co_return other;
        }
        if (skipped == max_mismatched_answers) {
            end.reason = "only answers to other requests";
            co_return end;
        }
        connection.expect_another_answer();
    }
    co_return std::nullopt;
}

asio::awaitable<serving_front::attempt_result>
serving_front::read_stream_failure(call_state& call, const state::answer_head& answer) {
    const auto fields = call.current->connection->fields();
    auto end = co_await read_whole_answer(call);
    if (end.outcome != attempt_outcome::delivered) {
        co_return end;
    }
    end.status = answer.status;
    end.has_request_id = !answer.request_id.empty();
    end.is_other_endpoint = answer.is_other_endpoint;
    end.fields = m_dependencies.codec.select_caller_fields(fields);
    auto verdict = coordination::judge_answer(answer);
    if (verdict.outcome == attempt_outcome::delivered) {
        verdict.outcome = attempt_outcome::failed; // no stream, so another endpoint is tried first
    }
    end.outcome = verdict.outcome;
    end.reason = reason_of(verdict, answer.status);
    if (end.outcome == attempt_outcome::not_run && !answer.faulty_runner.empty()) {
        m_dependencies.report_suspect(state::endpoint_id(answer.faulty_runner));
    }
    co_return end;
}

void serving_front::note_first_event(call_state& call) {
    auto& attempt = *call.current;
    attempt.is_writing = true;
    m_dependencies.correction.learn(
        call.decoded.model, attempt.chosen.uncorrected_first_event_ms,
        static_cast<double>(time_until(m_dependencies.now(), attempt.sent_at).count()));
    m_dependencies.loads.note_first_event(attempt.chosen.runner.record.id,
                                          call.decoded.prompt_tokens);
}

asio::awaitable<error_code> serving_front::relay_events(call_state& call,
                                                        const http_fields& fields) {
    if (!call.writer.started()) {
        call.status = status_ok;
        call.first_byte = m_dependencies.now();
        auto selected = m_dependencies.codec.select_caller_fields(fields);
        if (const auto failed = co_await call.writer.start(status_ok, std::move(selected))) {
            co_return failed;
        }
    }
    call.interrupted_at.reset();
    call.progress->note_answer_begun();
    if (call.events.next_token() > 0) {
        call.last_event = call.events.next_token() - 1;
    }
    const auto events = call.events.take();
    const auto failed = co_await call.writer.write(events);
    co_return failed;
}

asio::awaitable<coordination::stream_end> serving_front::await_stream_end(call_state& call) {
    auto& connection = *call.current->connection;
    coordination::stream_end_evidence evidence;
    evidence.has_partial_event = call.events.has_partial_event();
    if (!evidence.has_partial_event && connection.has_chunks()) {
        call.current->counted.reset(); // the endpoint has ended its work, or will be left
        co_await connection.wait_behind_end(bounded_by_deadline(call, max_end_wait));
        evidence.has_bytes_after = connection.has_bytes_after_end();
    } else if (!evidence.has_partial_event) {
        const bool is_confirmed = co_await m_dependencies.connector.confirm_end(
            connection, call.current->chosen.runner.record);
        evidence.is_unconfirmed = !is_confirmed;
    }
    const auto end = coordination::judge_stream_end(evidence);
    m_dependencies.metrics
        .counter_of("savoryrelay_stream_ends_total", {{"end", std::string(state::to_name(end))}})
        .add();
    co_return end;
}

asio::awaitable<serving_front::attempt_result>
serving_front::finish_stream(call_state& call, const http_fields& fields) {
    attempt_result end;
    const auto verdict = co_await await_stream_end(call);
    if (verdict != coordination::stream_end::complete) {
        end.reason = "stream has no sound end: " + std::string(state::to_name(verdict));
        co_return end;
    }
    end_kept_attempts(call);
    if (!call.writer.started()) {
        call.status = status_ok;
        auto selected = m_dependencies.codec.select_caller_fields(fields);
        co_await call.writer.start(status_ok, std::move(selected));
    }
    const auto rest = call.events.take_rest();
    co_await call.writer.write(rest);
    if (co_await call.writer.finish()) {
        call.writer.abandon();
    }
    end.outcome = attempt_outcome::delivered;
    co_return end;
}

asio::awaitable<serving_front::attempt_result> serving_front::relay_stream(call_state& call,
                                                                           bool is_resumed) {
    attempt_result end;
    auto& attempt = *call.current;
    auto& connection = *attempt.connection;
    const auto limits = stream_limits_of(call);
    const auto first_limit = is_resumed ? silence_check_interval : limits.first_event;
    if (auto no_header = co_await read_stream_header(call, first_limit)) {
        co_return std::move(*no_header);
    }
    const auto fields = connection.fields();
    const auto answer = m_dependencies.codec.decode_answer(connection.status(), fields);
    if (answer.status != status_ok || answer.is_not_run) {
        co_return co_await read_stream_failure(call, answer);
    }
    if (const auto verdict = coordination::judge_answer(answer);
        verdict.outcome == attempt_outcome::withheld) {
        end.outcome = verdict.outcome;
        end.reason = reason_of(verdict, answer.status);
        co_return end;
    }

    // Relay each event once it is complete. The answer's header is sent together
    // with the first event, so that until then the answer of another endpoint can
    // replace this one.
    std::vector<char> buffer(read_buffer_bytes);
    coordination::trickle_detector trickle(silence_check_interval);
    coordination::reading_limit reading(call.deadline);
    auto check_at = m_dependencies.now() + first_limit;
    while (true) {
        if (reading.is_over(m_dependencies.now())) {
            end.reason = attempt.is_writing ? "stream is not whole at the deadline" : "no event";
            co_return end;
        }
        const auto left = bounded_by_deadline(call, time_until(check_at, m_dependencies.now()));
        const auto [failed, size] = co_await connection.read_some(asio::buffer(buffer), left);
        const auto now = m_dependencies.now();
        if (!failed && size == 0) {
            break;
        }
        bool is_silent = failed == asio::error::operation_aborted;
        if (failed && !is_silent) {
            end.set_failed(attempt.is_writing ? "stream broke off" : "no event", failed);
            co_return end;
        }
        if (!failed) {
            m_dependencies.fleet.note_answer(attempt.chosen.runner.record.id, now);
            const auto events_before = call.events.new_events();
            const auto comments_before = call.events.comments();
            const std::string_view received(buffer.data(), size);
            const auto appended = state::collect([&] { return call.events.append(received); });
            if (!appended) {
                end.reason = appended.error().message();
                co_return end;
            }
            if (call.events.new_events() > events_before) {
                end_kept_attempts(call);
                if (!attempt.is_writing) {
                    note_first_event(call);
                }
                call.timing.note_event(now);
                if (co_await relay_events(call, fields)) {
                    call.caller_is_gone = true;
                    co_return end;
                }
                // A caller that reads slowly has held up the stream until now.
                trickle.note_event();
                check_at = m_dependencies.now() + limits.event_gap;
                continue;
            }
            // Unlike silence and comments, bytes that complete no event come from a faulty
            // endpoint.
            const bool is_comment = call.events.comments() > comments_before;
            const auto trickle_limit = attempt.is_writing ? limits.event_gap : limits.first_event;
            if (!is_comment && trickle.note_piece(now, trickle_limit)) {
                end.reason = attempt.is_writing ? "stream made no progress" : "no event";
                co_return end;
            }
            is_silent = now >= check_at;
        }
        if (!is_silent) {
            continue;
        }
        const auto step = handle_silence(call);
        if (step == silence_step::hand_over) {
            end.is_kept = true;
            co_return end;
        }
        if (step == silence_step::give_up) {
            end.set_failed(attempt.is_writing ? "stream broke off" : "no event",
                           asio::error::operation_aborted);
            co_return end;
        }
        check_at = now + silence_check_interval;
    }
    co_return co_await finish_stream(call, fields);
}

} // namespace savoryrelay::transport
