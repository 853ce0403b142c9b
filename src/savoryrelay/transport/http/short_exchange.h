// One HTTP exchange with a short answer, used for the store, runners and peers.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_message.h"

#include <boost/asio/awaitable.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace savoryrelay::transport {

/// Which connections an exchange uses.
enum class connection_choice {
    pooled, ///< an idle connection if there is one; it is kept afterwards
    own,    ///< one that is opened for the exchange and closed after it
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::connection_choice> {
    using c = savoryrelay::transport::connection_choice;
    static constexpr std::array rows{
        enum_name<c>{c::pooled, "pooled"},
        enum_name<c>{c::own, "own"},
    };
};

namespace savoryrelay::transport {

/// The address of a peer and the time limits of an exchange with it.
struct exchange_target {
    std::string address; ///< IP address
    std::uint16_t port = 0;
    state::milliseconds connect_timeout{500};
    state::milliseconds answer_timeout{1'000}; ///< until the head, and for each further piece
    std::function<bool()> may_send{};          ///< asked once the connection is open; null: always
    state::milliseconds whole_answer_timeout{10'000}; ///< from the head until the end
    /// Called with the head of the answer before its body is read; null: not called.
    std::function<void(unsigned status, const http_fields& fields)> on_head{};
    /// `own` if an answer must not be taken for that of another request: a peer may send an answer
    /// twice, and without ids a late copy looks like the answer to the next request.
    connection_choice connections = connection_choice::pooled;
    /// Asked after the answer whether a pooled connection may carry other requests; null: always.
    std::function<bool(unsigned status)> may_keep{};
};

/// A complete answer.
struct short_answer {
    unsigned status = 0;
    std::string body;
    http_fields fields;
};

/// Sends `request` on a connection of the target's choice and reads the answer. Never sends
/// the request twice. Fails with `endpoint_unreachable` if no byte was sent, and with
/// `endpoint_failed` if the peer may have carried out the request.
[[nodiscard]] boost::asio::awaitable<state::attempt<short_answer>>
run_exchange(endpoint_pool& pool, exchange_target target, http_request request);

} // namespace savoryrelay::transport
