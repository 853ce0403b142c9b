// State of one attempt at an endpoint. Included only by the sources of the callers'
// front end.
#pragma once

#include "savoryrelay/transport/caller/caller_front.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

/// Returns the random numbers with which this thread chooses endpoints.
inline coordination::random_source& thread_random() {
    thread_local coordination::random_source random{std::random_device{}()};
    return random;
}

/// State of one attempt at an endpoint.
struct caller_front::exchange {
    static constexpr std::size_t buffer_bytes = 16 * 1024;

    exchange(std::shared_ptr<coordination::call> call, coordination::call_route chosen,
             http_request received, response_writer& answer_writer,
             protocol::event_splitter* splitter)
        : accepted(std::move(call)), route(std::move(chosen)), request(std::move(received)),
          writer(answer_writer), events(splitter) {}

    std::shared_ptr<coordination::call> accepted;
    coordination::call_route route;
    http_request request; // as sent to the endpoint
    response_writer& writer;
    protocol::event_splitter* events; // of the call; null if its answer is never a stream
    std::unique_ptr<endpoint_connection> connection;
    coordination::exchange_end end = coordination::exchange_end::not_sent; // until it is sent
    bool has_request_id = false; // the answer carries the id of the request
    // Stays true if this attempt gets no answer. Tokens that were already relayed then come
    // from an earlier attempt, and this attempt was made only because that engine can resume.
    bool can_resume = true;
    std::vector<char> buffer = std::vector<char>(buffer_bytes);

    /// Returns the first `size` bytes of the buffer, which the last read filled.
    [[nodiscard]] std::string_view received(std::size_t size) const {
        return {buffer.data(), size};
    }

    /// Returns how much of the answer was relayed to the caller. If the events carry no
    /// token numbers, the stream cannot be resumed, because the next token is unknown.
    [[nodiscard]] coordination::answer_progress progress() const {
        const auto next = events == nullptr ? 0 : events->next_token();
        return {writer.started() ? std::max<std::uint64_t>(next, 1) : 0, can_resume && next > 0};
    }

    /// Makes the pending step of the attempt fail.
    void close_connection() const {
        if (connection != nullptr) {
            connection->close();
        }
    }

    /// Returns the time until the call's deadline, at most `limit` and at least 1 ms.
    [[nodiscard]] state::milliseconds remaining(state::time_point now,
                                                state::milliseconds limit) const {
        const auto time_left =
            std::chrono::duration_cast<state::milliseconds>(accepted->deadline - now);
        return std::clamp(time_left, state::milliseconds(1), limit);
    }
};

} // namespace savoryrelay::transport
