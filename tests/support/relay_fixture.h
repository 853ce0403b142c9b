// A relay server with the sides of its tunnels, for tests.
#pragma once

#include "savoryrelay/protocol/relay/relay_messages.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/relay/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// Longest time for which a test waits for a condition.
inline constexpr std::chrono::milliseconds patience{10'000};

/// Returns whether `holds` becomes true in time.
inline bool eventually(const std::function<bool()>& holds) {
    const auto begun = std::chrono::steady_clock::now();
    while (!holds()) {
        if (std::chrono::steady_clock::now() - begun > patience) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

/// How the bytes of a connection end.
enum class stream_end { none, end, reset };

/// Returns the context of all sockets of the tests, which never runs.
inline boost::asio::io_context& socket_context() {
    static boost::asio::io_context context;
    return context;
}

/// Returns limits that a busy machine does not reach.
inline transport::relay_limits patient_limits() {
    transport::relay_limits limits;
    limits.line_timeout = patience;
    limits.connect_timeout = patience;
    limits.max_thread_gap = patience;
    return limits;
}

/// One side of a connection, with blocking operations that end in time.
class raw_socket {
public:
    raw_socket() = default;
    explicit raw_socket(std::uint16_t port) {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    void send(const std::string& bytes) {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Sends as many of the bytes as the connection takes at once. Returns their number.
    std::size_t send_some(const std::string& bytes) {
        const auto sent = ::send(m_socket.native_handle(), bytes.data(), bytes.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && (errno == ECONNRESET || errno == EPIPE)) {
            m_end = stream_end::reset;
        }
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /// Returns up to `limit` bytes, fewer only if the connection ends or none come in time.
    std::string receive(std::size_t limit) {
        std::string received;
        std::array<char, 16 * 1024> buffer{};
        while (received.size() < limit) {
            pollfd polled{m_socket.native_handle(), POLLIN, 0};
            if (::poll(&polled, 1, static_cast<int>(patience.count())) <= 0) {
                break;
            }
            const auto size = ::recv(m_socket.native_handle(), buffer.data(),
                                     std::min(buffer.size(), limit - received.size()), 0);
            if (size <= 0) {
                // The first operation that fails takes the reset from the socket.
                m_end =
                    size == 0 && m_end != stream_end::reset ? stream_end::end : stream_end::reset;
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return received;
    }

    /// Returns all bytes until the connection ends.
    std::string receive_all() { return receive(std::string().max_size()); }
    /// Returns how the connection ended, as seen by `receive` or `send_some`.
    [[nodiscard]] stream_end end() const { return m_end; }

    void send_end() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }
    void reset() {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

private:
    boost::asio::ip::tcp::socket m_socket{socket_context()};
    stream_end m_end = stream_end::none;
};

/// Listens on a port of 127.0.0.1.
class raw_listener {
public:
    [[nodiscard]] std::uint16_t port() const { return m_port; }

    void accept(raw_socket& accepted) {
        pollfd polled{m_acceptor.native_handle(), POLLIN, 0};
        REQUIRE(::poll(&polled, 1, static_cast<int>(patience.count())) == 1);
        const int socket = ::accept(m_acceptor.native_handle(), nullptr, nullptr);
        REQUIRE(socket >= 0);
        accepted.socket().assign(boost::asio::ip::tcp::v4(), socket);
    }

    [[nodiscard]] bool has_connection() {
        pollfd polled{m_acceptor.native_handle(), POLLIN, 0};
        return ::poll(&polled, 1, 0) == 1;
    }

private:
    boost::asio::ip::tcp::acceptor m_acceptor{
        socket_context(),
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
};

/// A server whose routes the test sets. Knows the endpoint "i-1", started at 5.
class relay_fixture {
public:
    explicit relay_fixture(const transport::relay_limits& limits = patient_limits(),
                           coordination::memory_account* account = nullptr,
                           std::size_t thread_count = 1)
        : threads(thread_count),
          server(threads, "127.0.0.1", 0,
                 {[this](const state::endpoint_id& id, std::uint64_t started_ms) {
                      const std::scoped_lock lock(m_mutex);
                      const auto found = m_routes.find({id.value(), started_ms});
                      return found == m_routes.end()
                                 ? transport::relay_route(protocol::relay_reply::unknown_endpoint)
                                 : found->second;
                  },
                  [this](const state::endpoint_id&, const boost::system::error_code& failed) {
                      const std::scoped_lock lock(m_mutex);
                      m_connects.push_back(failed);
                  },
                  {}},
                 account, limits) {
        route_to(endpoint.port());
    }
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;
    ~relay_fixture() {
        server.stop_accepting();
        threads.stop();
    }

    void set_route(transport::relay_route route) {
        const std::scoped_lock lock(m_mutex);
        m_routes[{"i-1", 5}] = std::move(route);
    }
    void route_to(std::uint16_t port) { set_route(state::member_address{"127.0.0.1", port}); }

    /// Returns the results of the connects to endpoints.
    std::vector<boost::system::error_code> connects() {
        const std::scoped_lock lock(m_mutex);
        return m_connects;
    }

    /// Opens a tunnel between `asking` and `reached`.
    void open(raw_socket& asking, raw_socket& reached) {
        asking.send(line);
        REQUIRE(asking.receive(connected.size()) == connected);
        endpoint.accept(reached);
    }

    /// Sends `text` in a connection of its own. Returns the answer until its end.
    std::string answer_to(const std::string& text) {
        raw_socket asking(server.port());
        asking.send(text);
        const auto answer = asking.receive_all();
        CHECK(asking.end() == stream_end::end);
        return answer;
    }

    bool becomes_empty() {
        return eventually([this] { return server.open_tunnels() == 0; });
    }

    /// Keeps the first thread busy until `unblock`.
    void block() {
        std::promise<void> blocked;
        m_release.emplace();
        boost::asio::post(threads.context(0), [this, &blocked] {
            blocked.set_value();
            m_release->get_future().wait();
        });
        blocked.get_future().wait();
    }
    void unblock() { m_release->set_value(); }

    const std::string line = "relay 1 i-1 5\n";
    const std::string connected = "connected\n";
    raw_listener endpoint;
    transport::io_threads threads;

private:
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::uint64_t>, transport::relay_route> m_routes; // guarded
    std::vector<boost::system::error_code> m_connects;                                // guarded
    std::optional<std::promise<void>> m_release;

public:
    transport::relay_server server;
};

} // namespace savoryrelay::tests
