// State of one attempt at an endpoint. Included only by the sources of the callers'
// front end.
#pragma once

#include "savoryrelay/transport/caller/caller_front.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace savoryrelay::transport {

/// State of one attempt at an endpoint.
struct caller_front::exchange {
    static constexpr std::size_t buffer_bytes = 16 * 1024;

    std::shared_ptr<coordination::call> accepted;
    coordination::call_route route;
    http_request request; // as sent to the endpoint
    std::unique_ptr<endpoint_connection> connection;
    coordination::exchange_end end = coordination::exchange_end::not_sent; // until it is sent
    protocol::event_splitter* events = nullptr;
    bool has_request_id = false; // the answer carries the id of the request
    std::vector<char> buffer = std::vector<char>(buffer_bytes);

    /// Returns the first `size` bytes of the buffer, which the last read filled.
    [[nodiscard]] std::string_view received(std::size_t size) const {
        return {buffer.data(), size};
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
