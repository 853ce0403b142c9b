// An HTTP/1.1 server on Boost.Beast whose answers may be streams. The cxxtools
// server buffers a whole answer, so it cannot serve callers.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/transport/http/http_message.h"
#include "savoryrelay/transport/http/response_writer.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace savoryrelay::transport {

/// Bounds of what a peer may send, and how long it may take.
struct http_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    state::milliseconds idle_timeout{60'000};    ///< between requests
    state::milliseconds request_timeout{15'000}; ///< for a whole request to arrive
    state::milliseconds write_timeout{15'000};   ///< for one write to be taken
};

/// Answers one request through the writer. Must not throw.
using request_handler = std::function<boost::asio::awaitable<void>(http_request, response_writer&)>;

/// Accepts connections and passes each request to the handler. Requests of one
/// connection are answered in order. All members may be called from any thread.
class http_server {
public:
    /// Listens at `address`:`port` (port 0: any free one). Throws
    /// boost::system::system_error when the address cannot be bound.
    http_server(io_threads& threads, const std::string& address, std::uint16_t port,
                http_limits limits, request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Reads the limits from `limits` for each request, in place of those given
    /// at the start. Call it before the first connection comes.
    void follow_limits(std::function<http_limits()> limits) { m_limits_hook = std::move(limits); }

    /// Announces with each answer that its connection closes, and goes on
    /// accepting.
    void announce_close() { m_closing.store(true); }

    /// Closes the listener and idle connections. Requests that have begun are
    /// answered, and their connections close after the answer.
    void stop_accepting();

    /// The number of requests whose answers are not complete.
    [[nodiscard]] std::size_t open_requests() const { return m_open_requests.load(); }

    /// Waits until no request is open. Call it after `stop_accepting`, not on a
    /// socket thread.
    void wait_until_idle();

private:
    class connection;

    boost::asio::awaitable<void> accept_loop();
    [[nodiscard]] http_limits limits() const { return m_limits_hook ? m_limits_hook() : m_limits; }
    void request_ended();
    void forget(std::uint64_t id);

    io_threads& m_threads;
    http_limits m_limits;
    std::function<http_limits()> m_limits_hook;
    request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor; // used on the first thread only
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_closing{false};
    std::atomic<std::size_t> m_open_requests{0};

    std::mutex m_idle_mutex;
    std::condition_variable m_became_idle; // notified when m_open_requests reaches 0

    std::mutex m_connections_mutex;
    std::uint64_t m_next_connection = 0; // guarded by m_connections_mutex
    std::unordered_map<std::uint64_t, std::weak_ptr<connection>> m_connections; // guarded
};

} // namespace savoryrelay::transport
