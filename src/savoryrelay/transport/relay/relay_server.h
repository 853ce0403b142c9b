// Connects other hosts to endpoints that they can't reach themselves. The host that asks keeps
// all decisions; this one connects to an endpoint that it knows, and copies bytes.
#pragma once

#include "savoryrelay/coordination/memory/memory_account.h"
#include "savoryrelay/protocol/relay/relay_messages.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/member/member.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/relay/pause_detector.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>

namespace savoryrelay::transport {

/// The address and port of an endpoint, or the reply that refuses a tunnel to it.
using relay_route = std::variant<state::member_address, protocol::relay_reply>;

/// What the server asks its host, on any of its threads.
struct relay_hooks {
    /// Returns the route to the endpoint with this id whose process began at `started_ms`.
    std::function<relay_route(const state::endpoint_id& endpoint, std::uint64_t started_ms)>
        find_route;
    /// Reports how a connect to the endpoint ended. `operation_aborted` means that it took longer
    /// than `relay_limits::connect_timeout`. May be empty.
    std::function<void(const state::endpoint_id& endpoint, const boost::system::error_code& failed)>
        note_connect;
    /// Finds out why a connect to the endpoint failed, `unreachable` or `cut_off`: the asking host
    /// takes the former for a fault of the endpoint. May be empty: always `unreachable`.
    std::function<boost::asio::awaitable<protocol::relay_reply>(const state::endpoint_id& endpoint)>
        explain_failure;
};

/// Limits of a server's tunnels. Each has two sockets and two buffers of `buffer_bytes`.
struct relay_limits {
    static constexpr std::size_t buffer_bytes = 16 * 1024;

    std::size_t max_tunnels = 256;             ///< open at once; further ones are refused
    state::milliseconds line_timeout{500};     ///< until the request line has arrived
    state::milliseconds connect_timeout{250};  ///< of the connect to the endpoint
    state::milliseconds write_timeout{15'000}; ///< without progress of a write
    /// Longest time for which a thread that was not paused does not run.
    state::milliseconds max_thread_gap{500};
};

/// Accepts connections of other hosts and tunnels them to endpoints. All members may be called
/// from any thread.
class relay_server {
public:
    /// Listens on `address`:`port`; port 0 selects any free port. `account` outlives the server;
    /// null: no limits. Throws boost::system::system_error when the address cannot be bound.
    relay_server(io_threads& threads, const std::string& address, std::uint16_t port,
                 relay_hooks hooks, coordination::memory_account* account,
                 relay_limits limits = {});
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// Returns the port on which the server listens.
    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Closes the listener and the connections whose tunnel is not open yet. Open tunnels go on
    /// until one of their sides ends.
    void stop_accepting();

    /// Returns the number of tunnels, with those that are not open yet or are closing.
    [[nodiscard]] std::size_t open_tunnels() const;

private:
    class tunnel;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> tick_loop(pause_detector& pauses);
    /// Starts a tunnel on the thread of `context`.
    void start_tunnel(boost::asio::io_context& context, boost::asio::ip::tcp::socket socket);
    void remove_tunnel(std::uint64_t id);

    io_threads& m_threads;
    relay_hooks m_hooks;
    coordination::memory_account* m_account;
    relay_limits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor; // used on the first thread only
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_used_slots{0}; // tunnels that count to max_tunnels
    // One for each thread, by its context. Not changed after the construction.
    std::unordered_map<boost::asio::io_context*, std::unique_ptr<pause_detector>> m_pauses;

    mutable std::mutex m_tunnels_mutex;
    std::uint64_t m_next_tunnel = 0;                                    // guarded
    std::unordered_map<std::uint64_t, std::weak_ptr<tunnel>> m_tunnels; // guarded
};

} // namespace savoryrelay::transport
