// Exchanges a request with an endpoint and relays its answer: event streams event by
// event, other answers as a whole.
#include "savoryrelay/coordination/retry/silence.h"
#include "savoryrelay/transport/caller/caller_exchange.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <chrono>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::exchange_end;

namespace {

// Interval of the check whether a call leaves an endpoint that has exceeded its limit.
constexpr state::milliseconds silence_check_interval{200};

/// Appends bytes to the splitter. Returns false if the stream is malformed.
bool append_events(protocol::event_splitter& events, std::string_view bytes) {
    return state::collect([&] { return events.append(bytes); }).has_value();
}

/// Returns the header fields of an event stream.
http_fields stream_fields(const state::request_id& request) {
    auto fields = content_type_field("text/event-stream");
    fields.push_back({"Cache-Control", "no-cache"});
    fields.push_back({"Savoryrelay-Request-Id", request.value()});
    return fields;
}

/// Returns true if the endpoint reports that it did not run the request.
bool reports_not_run(const endpoint_connection& connection) {
    return connection.header("Savoryrelay-Outcome") ==
           state::to_name(state::execution_outcome::not_run);
}

} // namespace

asio::awaitable<bool> caller_front::open_exchange(exchange& attempt) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const auto& route = attempt.route;

    // Reuse an idle connection unless the attempt requires a new one.
    if (!route.fresh_connection) {
        attempt.connection = m_pool.take(context, route.address, route.port);
    }
    if (attempt.connection == nullptr) {
        attempt.connection = std::make_unique<endpoint_connection>(context);
        const auto failed = co_await attempt.connection->connect(
            route.address, route.port, attempt.remaining(m_hooks.now(), m_limits.connect_timeout));
        if (failed) {
            attempt.end = exchange_end::not_sent;
            co_return false;
        }
    }

    // Send the request and wait for the header of its answer.
    const auto& deployment = *attempt.accepted->deployment;
    if (co_await attempt.connection->send(attempt.request, m_limits.send_timeout)) {
        attempt.end = exchange_end::no_answer;
        co_return false;
    }
    if (co_await read_header(attempt, deployment.first_token_timeout)) {
        attempt.end = exchange_end::no_answer;
        co_return false;
    }

    // An answer with the id of another request must not reach this caller. Neither does
    // the rejection of another request show that this one did not run.
    const auto answered_id = attempt.connection->header("Savoryrelay-Request-Id");
    if (!answered_id.empty() && answered_id != attempt.accepted->id.value()) {
        attempt.end = exchange_end::mismatched_answer;
        co_return false;
    }
    attempt.has_request_id = !answered_id.empty();
    if (reports_not_run(*attempt.connection)) {
        attempt.end = exchange_end::refused;
        co_return false;
    }
    co_return true;
}

bool caller_front::waits_on(const exchange& attempt) {
    return m_coordinator.handle_silence(*attempt.accepted, attempt.route, attempt.progress(),
                                        attempt.writer.is_caller_gone(), m_hooks.now(),
                                        thread_random()) == coordination::silence_step::wait;
}

asio::awaitable<error_code> caller_front::read_header(exchange& attempt,
                                                      state::milliseconds limit) {
    auto failed = co_await attempt.connection->read_header(attempt.remaining(m_hooks.now(), limit));
    while (failed == asio::error::operation_aborted) {
        if (!waits_on(attempt)) {
            break;
        }
        failed = co_await attempt.connection->read_header(
            attempt.remaining(m_hooks.now(), silence_check_interval));
    }
    co_return failed;
}

asio::awaitable<std::pair<error_code, std::size_t>>
caller_front::read_bytes(exchange& attempt, state::milliseconds limit) {
    // An answer without end delivers bytes at any time, so no read may begin late.
    if (m_hooks.now() >= attempt.accepted->deadline) {
        co_return std::pair{error_code(asio::error::timed_out), std::size_t{0}};
    }
    const auto buffer = asio::buffer(attempt.buffer);
    auto result =
        co_await attempt.connection->read_some(buffer, attempt.remaining(m_hooks.now(), limit));
    while (result.first == asio::error::operation_aborted) {
        if (!waits_on(attempt)) {
            break;
        }
        result = co_await attempt.connection->read_some(
            buffer, attempt.remaining(m_hooks.now(), silence_check_interval));
    }
    co_return result;
}

asio::awaitable<exchange_end> caller_front::relay_stream(exchange& attempt) {
    auto& events = *attempt.events;
    auto& writer = attempt.writer;
    const auto& deployment = *attempt.accepted->deployment;
    auto last_token_at = m_hooks.now();
    auto limit = deployment.first_token_timeout;
    coordination::trickle_detector trickle(silence_check_interval);
    while (!events.finished()) {
        // Bytes that complete no event do not put off the check for another endpoint.
        const auto left = std::max(
            state::milliseconds(1),
            std::chrono::duration_cast<state::milliseconds>(last_token_at + limit - m_hooks.now()));
        const auto [failed, size] = co_await read_bytes(attempt, left);
        if (failed || size == 0) {
            co_return exchange_end::interrupted;
        }
        const auto tokens_before = events.tokens();
        const auto events_before = events.new_events();
        if (!append_events(events, attempt.received(size))) {
            co_return exchange_end::interrupted;
        }
        const bool is_progress = events.new_events() > events_before;
        // Unlike silence, bytes without a new event come from a faulty endpoint.
        if (!is_progress && trickle.note_piece(m_hooks.now(), limit)) {
            co_return exchange_end::interrupted;
        }

        // Relay the events that this read completed. Only a new event begins the answer,
        // because the call can go to any other endpoint until then.
        const auto ready = events.take();
        if (ready.empty() || (!is_progress && !writer.started())) {
            continue;
        }
        error_code write_failed;
        if (!writer.started()) {
            write_failed = co_await writer.start(200, stream_fields(attempt.accepted->id));
        }
        if (!write_failed) {
            write_failed = co_await writer.write(ready);
        }
        if (write_failed) {
            co_return exchange_end::caller_gone;
        }
        if (!is_progress) {
            continue;
        }

        // Measure the first token and the interval between tokens.
        const auto now = m_hooks.now();
        const auto seconds = [](auto span) { return std::chrono::duration<double>(span).count(); };
        if (limit == deployment.first_token_timeout) {
            m_first_token.record(seconds(now - attempt.accepted->accepted_at));
        } else {
            m_token_interval.record(seconds(now - last_token_at));
        }
        m_tokens.add(events.tokens() - tokens_before);
        last_token_at = now;
        trickle.note_event();
        limit = deployment.token_timeout;
    }

    // Read the end of the body, so that the connection can carry another request.
    co_await attempt.connection->read_some(
        asio::buffer(attempt.buffer), attempt.remaining(m_hooks.now(), m_limits.connect_timeout));
    co_return exchange_end::completed;
}

asio::awaitable<exchange_end> caller_front::read_answer(exchange& attempt, stored_answer& answer) {
    const auto& deployment = *attempt.accepted->deployment;
    answer = {attempt.connection->status(), attempt.connection->header("Content-Type"), {}};
    while (true) {
        const auto [failed, size] = co_await read_bytes(attempt, deployment.first_token_timeout);
        if (failed || answer.body.size() + size > m_limits.max_answer_bytes) {
            co_return exchange_end::interrupted;
        }
        if (size == 0) {
            co_return exchange_end::completed;
        }
        answer.body.append(attempt.received(size));
    }
}

asio::awaitable<void> caller_front::run_exchange(exchange& attempt, stored_answer& answer) {
    const bool opened = co_await open_exchange(attempt);
    if (!opened) {
        co_return;
    }
    attempt.can_resume = attempt.connection->header("Savoryrelay-Can-Resume") == "true";
    if (attempt.connection->header("Content-Type").starts_with("text/event-stream")) {
        attempt.end = co_await relay_stream(attempt);
    } else if (attempt.writer.started()) {
        attempt.end = exchange_end::interrupted; // a stream can only continue with a stream
    } else {
        attempt.end = co_await read_answer(attempt, answer);
    }
}

} // namespace savoryrelay::transport
