// HTTP/1.1 client for endpoints and the platform. It never sends a request twice
// on its own, unlike the cxxtools client, which repeats a POST when an idle
// connection turns out to be closed.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_reader.h"
#include "savoryrelay/protocol/relay/relay_messages.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/member/member.h"
#include "savoryrelay/transport/http/http_message.h"
#include "savoryrelay/transport/http/progress_watchdog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

/// Returns whether an operation failed because the peer closed or reset the connection.
[[nodiscard]] bool is_closed_by_peer(const boost::system::error_code& failed);

/// How a connection reaches its endpoint.
enum class connection_path {
    direct,
    relayed, ///< by a tunnel through another host
};

/// The result of connecting through another host.
struct relayed_connect {
    boost::system::error_code failed;           ///< not set exactly if `reply` is `connected`
    std::optional<protocol::relay_reply> reply; ///< nothing if the other host sent none
};

/// A connection that carries one exchange at a time. Its answers are read by
/// `protocol::answer_reader` alone. Not thread-safe.
class endpoint_connection {
public:
    explicit endpoint_connection(boost::asio::io_context& context)
        : m_stream(context), m_watchdog(context.get_executor(), [this] { m_stream.cancel(); }) {}
    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;
    ~endpoint_connection() { close(); }

    /// Connects to an IP address. Sets TCP keepalive and a TCP user timeout, which
    /// detect a peer that can no longer be reached.
    boost::asio::awaitable<boost::system::error_code>
    connect(const std::string& address, std::uint16_t port, state::milliseconds timeout);

    /// Connects to an endpoint through the host that listens for tunnels at `relay`. `timeout`
    /// covers all steps. Nothing was sent to the endpoint if this fails. Afterwards the
    /// connection is used as a direct one.
    boost::asio::awaitable<relayed_connect> connect_through(const state::member_address& relay,
                                                            const state::endpoint_id& endpoint,
                                                            std::uint64_t started_ms,
                                                            state::milliseconds timeout);

    /// Returns how the connection reaches its endpoint; `direct` before it is connected.
    [[nodiscard]] connection_path path() const { return m_path; }
    [[nodiscard]] bool is_relayed() const { return m_path == connection_path::relayed; }
    /// Returns where the host listens through which the connection was opened last.
    [[nodiscard]] const state::member_address& relay() const { return m_relay; }
    /// Returns the executor of the thread that uses the connection.
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_stream.get_executor(); }

    /// Sends `request`. Even if this fails, the peer may have received bytes.
    boost::asio::awaitable<boost::system::error_code> send(const http_request& request,
                                                           state::milliseconds timeout);

    /// Reads the answer's header, after a few informational ones at most. Bytes that are no
    /// answer fail with the code of their `protocol::answer_defect`, here and in `read_some`.
    boost::asio::awaitable<boost::system::error_code> read_header(state::milliseconds timeout);

    /// Reads at least one byte of the body into `buffer`. Returns 0 bytes and no
    /// error after the end of a complete answer. Fields behind the last chunk that the `Trailer`
    /// field of the answer does not name, or that may not stand there, are a defect: they may be
    /// a part of the body. Drops other trailer fields.
    boost::asio::awaitable<std::pair<boost::system::error_code, std::size_t>>
    read_some(boost::asio::mutable_buffer buffer, state::milliseconds timeout);

    /// Makes `read_some` return the end of the answer whose header was read, as an answer to
    /// HEAD has no body. The connection carries no further request.
    void skip_body() { m_skips_body = true; }

    /// Returns the status of the answer. Call it only after `read_header`.
    [[nodiscard]] unsigned status() const;
    /// Returns the answer's header field `name`, or an empty string. Call it only after
    /// `read_header`.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// Returns all header fields of the answer. Call it only after `read_header`.
    [[nodiscard]] http_fields fields() const;
    /// Returns true if the answer is complete and the connection may carry other requests.
    [[nodiscard]] bool reusable() const;
    /// Returns true if the answer has neither a length nor chunks, so that the end of the
    /// connection is its end. Call it only after `read_header`.
    [[nodiscard]] bool ends_answer_by_closing() const;
    /// Returns true if the answer has a body in chunks. Call it only after `read_header`.
    [[nodiscard]] bool has_chunks() const;
    /// Waits until the peer sends something behind the end of the answer or closes the
    /// connection, for at most `limit`.
    boost::asio::awaitable<void> wait_behind_end(state::milliseconds limit);
    /// Returns true if bytes of the peer have arrived behind the end of the answer, except those of
    /// another answer: a second copy says nothing about the end of the first.
    [[nodiscard]] bool has_bytes_after_end();
    /// Prepares to read the next answer on the connection. Called after reading an
    /// answer that belonged to an earlier request.
    void expect_another_answer();
    /// Returns how long the peer keeps an idle connection open according to the
    /// Keep-Alive field of its last answer, or nothing if the answer does not say.
    [[nodiscard]] std::optional<state::milliseconds> keep_alive_timeout() const;

    /// Records that the answer to `request` lets its sender send it again. The connection never
    /// carries it again: a late copy of that answer has the same id as the next one.
    void note_repeatable(const state::request_id& request);
    /// Returns whether the connection may carry `request`.
    [[nodiscard]] bool may_carry(const state::request_id& request) const;

    /// Marks the connection as idle since `now`.
    void set_idle_since(state::time_point now) { m_idle_since = now; }
    [[nodiscard]] state::time_point idle_since() const { return m_idle_since; }
    /// Returns true if an idle connection may still carry a request at `now`: the
    /// peer has neither closed it nor sent anything, and it has been idle for at most
    /// `share` of `keep_alive_timeout`, or of `default_keep_alive_timeout` if the peer
    /// states no timeout.
    [[nodiscard]] bool usable_when_idle(state::time_point now, double share);
    /// Returns true if bytes of the peer have arrived that were not read.
    [[nodiscard]] bool has_unread_bytes();
    /// Returns true if the peer has closed or reset the connection and all it sent was read.
    [[nodiscard]] bool is_closed_by_peer();
    /// Closes the connection at once. Resets it if the peer has not acknowledged all bytes, so
    /// that a request that was given up does not reach the peer later.
    void close();

private:
    // Assumed if the peer's answer has no keep-alive timeout.
    static constexpr state::milliseconds default_keep_alive_timeout{4'000};
    // A connection that has carried this many repeatable requests is not used again.
    static constexpr std::size_t max_repeatable_requests = 32;
    static constexpr std::size_t receive_bytes = 4 * 1024; // bytes of one read

    /// What can be read from the socket without waiting.
    enum class input_state { none, bytes, closed };

    /// Copies bytes that can be read without waiting to `out`, leaves them unread, and returns
    /// their number too.
    [[nodiscard]] std::pair<input_state, std::size_t> peek(std::span<char> out);
    [[nodiscard]] input_state peek();
    /// Keeps the error of an operation on the socket that shows how the connection has ended.
    void note_socket_error(const boost::system::error_code& failed);
    /// Sends the request line of a tunnel and reads the reply, until `deadline`.
    boost::asio::awaitable<relayed_connect> open_tunnel(const std::string& line,
                                                        state::time_point deadline);
    void reset_reader();
    /// Waits for bytes and adds them to the empty buffer, or tells the reader that the
    /// connection has ended.
    boost::asio::awaitable<boost::system::error_code> receive();
    /// Returns the bytes that were received and not read.
    [[nodiscard]] std::string_view received() const;
    /// Returns the error for what the reader has found wrong, or none.
    [[nodiscard]] boost::system::error_code reading_error() const;

    boost::beast::tcp_stream m_stream;
    connection_path m_path = connection_path::direct;
    state::member_address m_relay; // used if m_path is `relayed`
    state::time_point m_idle_since{};
    progress_watchdog m_watchdog; // cancels the pending operation when its time limit expires
    boost::beast::flat_buffer m_buffer{receive_bytes}; // not empty after an answer: stray bytes
    bool m_skips_body = false;
    // Ids of requests that the connection must not carry again.
    std::vector<state::request_id> m_repeatable_requests;
    std::optional<protocol::answer_reader> m_reader; // empty before the first request
    // The socket reports an error to one operation only. If set, the connection has not ended
    // regularly, although later reads find its end.
    boost::system::error_code m_socket_error;
    bool m_is_answer_begun = false; // the reader has taken bytes
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::connection_path> {
    using p = savoryrelay::transport::connection_path;
    static constexpr std::array rows{
        enum_name<p>{p::direct, "direct"},
        enum_name<p>{p::relayed, "relayed"},
    };
};
