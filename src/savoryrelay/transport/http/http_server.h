// An HTTP/1.1 server on Boost.Beast that can stream its answers. Callers need
// streams, and the cxxtools server buffers each answer as a whole.
#pragma once

#include "savoryrelay/coordination/memory/memory_account.h"
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

/// Size limits of a peer's request, and time limits of its connection.
struct http_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    state::milliseconds idle_timeout{60'000};    ///< between requests
    state::milliseconds request_timeout{15'000}; ///< until a request has arrived completely
    state::milliseconds write_timeout{15'000};   ///< without progress of a write
};

/// Answers one request with the writer. If it throws, the server answers 500, or cuts an
/// answer that has begun, and closes the connection.
using request_handler = std::function<boost::asio::awaitable<void>(http_request, response_writer&)>;

/// Answers a request of which only the head has arrived, if its body is not needed. Returns
/// whether it has answered.
using head_handler =
    std::function<boost::asio::awaitable<bool>(const http_request& head, response_writer&)>;

/// What a server shares with others of the process, and decides before a body has arrived.
struct server_accounting {
    coordination::memory_account* account = nullptr; ///< outlives the server; null: no limits
    coordination::listener from = coordination::listener::callers;
    /// Called for a request whose body is larger than `max_unasked_body_bytes`.
    head_handler answer_head;
};

/// Returns a hook that answers every request with `handler` and an empty body.
[[nodiscard]] head_handler answer_without_body(request_handler handler);

/// Accepts connections and passes each request to the handler. Requests of one
/// connection are answered in order. All members may be called from any thread.
class http_server {
public:
    /// Listens on `address`:`port`; port 0 selects any free port. Throws
    /// boost::system::system_error when the address cannot be bound.
    http_server(io_threads& threads, const std::string& address, std::uint16_t port,
                http_limits limits, request_handler handler, server_accounting accounting = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the port on which the server listens.
    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Sets a hook that returns the limits for each request and replaces the limits
    /// given to the constructor. Call it before the first connection arrives.
    void set_limits_hook(std::function<http_limits()> limits) { m_limits_hook = std::move(limits); }

    /// Sends `Connection: close` with each further answer. The server continues to
    /// accept connections.
    void announce_close() { m_closing.store(true); }

    /// Closes the listener and idle connections. Requests that have begun to arrive are
    /// answered, and their connections close after the answer.
    void stop_accepting();

    /// Returns the number of requests that have begun to arrive and whose answers are not
    /// complete.
    [[nodiscard]] std::size_t open_requests() const { return m_open_requests.load(); }
    /// Returns the number of connections. A connection that is idle for the server may
    /// carry a request that it has not read yet.
    [[nodiscard]] std::size_t open_connections() const;

    /// Waits until all connections are closed. Call it after `stop_accepting` and never on
    /// a socket thread.
    void wait_until_idle();

private:
    class connection;

    boost::asio::awaitable<void> accept_loop();
    [[nodiscard]] http_limits limits() const { return m_limits_hook ? m_limits_hook() : m_limits; }
    void remove_connection(std::uint64_t id);

    io_threads& m_threads;
    http_limits m_limits;
    std::function<http_limits()> m_limits_hook;
    request_handler m_handler;
    server_accounting m_accounting;
    boost::asio::ip::tcp::acceptor m_acceptor; // used on the first thread only
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_closing{false};
    std::atomic<std::size_t> m_open_requests{0};

    mutable std::mutex m_connections_mutex;
    std::condition_variable m_became_idle; // notified when m_connections becomes empty
    std::uint64_t m_next_connection = 0;   // guarded by m_connections_mutex
    std::unordered_map<std::uint64_t, std::weak_ptr<connection>> m_connections; // guarded
};

} // namespace savoryrelay::transport
