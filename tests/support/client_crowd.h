// A crowd of callers' connections that don't behave, driven by one thread, and the measures of
// the process that it addresses.
#pragma once

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// Connections that send the same bytes and stay open. The destructor closes them.
class client_crowd {
public:
    client_crowd(const std::string& address, const std::string& port, std::size_t count) {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(port)));
        REQUIRE(::inet_pton(AF_INET, address.c_str(), &peer.sin_addr) == 1);
        for (std::size_t i = 0; i < count; ++i) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
            REQUIRE(descriptor >= 0);
            m_members.push_back({descriptor, 0, false});
            // What the kernel holds for a connection is in no measure of the process.
            constexpr int socket_buffer_bytes = 16 * 1024;
            for (const int option : {SO_SNDBUF, SO_RCVBUF}) {
                ::setsockopt(descriptor, SOL_SOCKET, option, &socket_buffer_bytes,
                             sizeof(socket_buffer_bytes));
            }
            REQUIRE(::connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0);
            REQUIRE(::fcntl(descriptor, F_SETFL, O_NONBLOCK) == 0);
        }
    }
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    ~client_crowd() {
        for (const auto& member : m_members) {
            ::close(member.descriptor);
        }
    }

    /// Sends `bytes` on each connection, at most `piece` bytes in turn. Returns when each has
    /// sent all or was closed. Answers stay unread.
    void send(const std::string& bytes, std::size_t piece) {
        for (auto& member : m_members) {
            member.sent = 0;
        }
        std::vector<pollfd> waiting;
        do {
            waiting.clear();
            for (auto& member : m_members) {
                if (!member.is_closed && member.sent < bytes.size()) {
                    send_piece(member, bytes, piece);
                    waiting.push_back({member.descriptor, POLLOUT, 0});
                }
            }
            constexpr int poll_ms = 50;
            ::poll(waiting.data(), waiting.size(), poll_ms);
        } while (!waiting.empty());
    }

private:
    struct crowd_member {
        int descriptor;
        std::size_t sent;
        bool is_closed;
    };

    static void send_piece(crowd_member& to, const std::string& bytes, std::size_t piece) {
        const auto sent =
            ::send(to.descriptor, bytes.data() + to.sent, std::min(piece, bytes.size() - to.sent),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            to.sent += static_cast<std::size_t>(sent);
        } else if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            to.is_closed = true;
        }
    }

    std::vector<crowd_member> m_members;
};

/// Returns the largest resident memory of the process so far, in MB.
inline double peak_memory_mb(int process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (status >> name) {
        double kilobytes = 0;
        if (name == "VmHWM:" && status >> kilobytes) {
            return kilobytes * 1024 / 1e6;
        }
        status.ignore(4096, '\n');
    }
    FAIL("the process has ended");
    return 0;
}

/// Returns the number of open descriptors of the process.
inline std::size_t open_descriptors(int process) {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace savoryrelay::tests
