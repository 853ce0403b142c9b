// The client side of HTTP/1.1 towards endpoints and the platform. It never
// sends a request twice by itself, unlike the cxxtools client, which repeats a
// POST when a kept connection turns out to be closed.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/transport/http/http_message.h"
#include "savoryrelay/transport/http/progress_watch.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace savoryrelay::transport {

/// One connection that carries one exchange at a time. Used on one thread.
class endpoint_connection {
public:
    explicit endpoint_connection(boost::asio::io_context& context)
        : m_stream(context), m_watch(context.get_executor(), [this] { m_stream.cancel(); }) {}

    /// Connects to an IP address. Sets TCP keepalive and a user timeout, so that
    /// a connection whose path has gone silent is noticed.
    boost::asio::awaitable<boost::system::error_code>
    connect(const std::string& address, std::uint16_t port, state::milliseconds timeout);

    /// Sends `request`. After this call has begun, bytes may have left.
    boost::asio::awaitable<boost::system::error_code> send(const http_request& request,
                                                           state::milliseconds timeout);

    /// Reads the header of the answer.
    boost::asio::awaitable<boost::system::error_code> read_header(state::milliseconds timeout);

    /// Reads at least one byte of the body into `buffer`. Returns 0 bytes
    /// without an error at the end of a whole answer.
    boost::asio::awaitable<std::pair<boost::system::error_code, std::size_t>>
    read_some(boost::asio::mutable_buffer buffer, state::milliseconds timeout);

    /// The status of the answer. Requires a read header.
    [[nodiscard]] unsigned status() const;
    /// Header `name` of the answer, or an empty text. Requires a read header.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// All fields of the answer's header. Requires a read header.
    [[nodiscard]] http_fields fields() const;
    /// True when the answer is whole and the connection may carry another request.
    [[nodiscard]] bool reusable() const;
    /// Prepares to read another answer to the same request, after one that
    /// belonged to an earlier request was read to its end.
    void expect_another_answer();
    /// How long the peer keeps the connection when it is idle, by its last
    /// answer. Nothing when it did not say.
    [[nodiscard]] std::optional<state::milliseconds> announced_idle_time() const;

    /// Marks the connection as idle since `now`.
    void set_idle_since(state::time_point now) { m_idle_since = now; }
    /// True when an idle connection may still carry a request at `now`: the peer
    /// has neither closed it nor sent anything, and it has been idle for at most
    /// `share` of the time that the peer announced, or of `usual_idle_time`.
    [[nodiscard]] bool usable_when_idle(state::time_point now, double share);
    /// Closes the connection at once.
    void close();

private:
    // Idle time to rely on when the peer announces none.
    static constexpr state::milliseconds usual_idle_time{4'000};

    void start_answer();

    boost::beast::tcp_stream m_stream;
    state::time_point m_idle_since{};
    progress_watch m_watch; // cancels the pending step when its time is over
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
};

} // namespace savoryrelay::transport
