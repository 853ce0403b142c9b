// One HTTP exchange with a short answer, as the store, runners and peers give them.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_message.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace savoryrelay::transport {

/// A peer and how long it may take.
struct exchange_target {
    std::string address; ///< IP address
    std::uint16_t port = 0;
    state::milliseconds connect_timeout{500};
    state::milliseconds answer_timeout{1'000};
};

/// A whole answer.
struct short_answer {
    unsigned status = 0;
    std::string body;
};

/// Sends `request` over a kept or new connection and reads the answer. Never
/// sends it twice. Fails with `endpoint_unreachable` when no byte has left, and
/// with `endpoint_failed` when the request may have been carried out.
[[nodiscard]] boost::asio::awaitable<state::attempt<short_answer>>
run_exchange(endpoint_pool& pool, exchange_target target, http_request request);

} // namespace savoryrelay::transport
