// A TCP path to a process that a test can cut, or hold up for a while.
#pragma once

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace savoryrelay::tests {

/// Listens on a port of 127.0.0.1 and forwards each connection to `target_port` there.
class cuttable_link {
public:
    enum class path {
        open,
        held, ///< bytes wait, and are forwarded once the path is open
        cut,  ///< connections are closed, new ones too
    };

    explicit cuttable_link(const std::string& target_port)
        : m_target_port(static_cast<std::uint16_t>(std::stoi(target_port))) {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = loopback(0);
        socklen_t size = sizeof(address);
        constexpr int backlog = 64;
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, backlog) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = std::to_string(ntohs(address.sin_port));
        m_acceptor = std::thread([this] { accept_connections(); });
    }
    cuttable_link(const cuttable_link&) = delete;
    cuttable_link& operator=(const cuttable_link&) = delete;
    ~cuttable_link() {
        m_has_ended = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        for (auto& thread : m_forwarders) {
            thread.join();
        }
    }

    void set(path state) { m_path = state; }

    std::string port;

private:
    static constexpr int poll_interval_ms = 5;

    static sockaddr_in loopback(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    void accept_connections() {
        while (!m_has_ended) {
            const int near = ::accept(m_listener, nullptr, nullptr);
            if (near < 0) {
                return;
            }
            m_forwarders.emplace_back([this, near] { forward(near); });
        }
    }

    // Forwards both directions until one side closes or the path is cut.
    void forward(int near) {
        const int far = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopback(m_target_port);
        bool is_open =
            ::connect(far, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        while (is_open && !m_has_ended && m_path != path::cut) {
            std::array<pollfd, 2> ends{{{near, POLLIN, 0}, {far, POLLIN, 0}}};
            if (m_path == path::held) {
                ::poll(nullptr, 0, poll_interval_ms);
                continue;
            }
            if (::poll(ends.data(), ends.size(), poll_interval_ms) > 0) {
                is_open = (ends[0].revents == 0 || copy(near, far)) &&
                          (ends[1].revents == 0 || copy(far, near));
            }
        }
        ::close(far);
        ::close(near);
    }

    static bool copy(int from, int to) {
        std::array<char, 16384> bytes{};
        const auto count = ::recv(from, bytes.data(), bytes.size(), 0);
        return count > 0 &&
               ::send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
    }

    const std::uint16_t m_target_port;
    int m_listener = -1;
    std::atomic<path> m_path{path::open};
    std::atomic<bool> m_has_ended{false};
    std::vector<std::thread> m_forwarders; // used by the acceptor until it is joined
    std::thread m_acceptor;
};

} // namespace savoryrelay::tests
