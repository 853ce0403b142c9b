// An endpoint whose bytes on the wire a test sets, with one thread for each connection.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// A request as it arrived.
struct scripted_request {
    std::string text;             ///< head and body
    int number = 0;               ///< of the request at its engine, counted from 1
    int number_on_connection = 0; ///< counted from 1

    /// Returns the value of a header field, or an empty string.
    [[nodiscard]] std::string field(const std::string& name) const {
        const auto at = text.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 4;
        return text.substr(begin, text.find("\r\n", begin) - begin);
    }
    [[nodiscard]] bool is_whole() const {
        const auto head_end = text.find("\r\n\r\n");
        const auto length = field("Content-Length");
        return head_end != std::string::npos &&
               text.size() >= head_end + 4 + (length.empty() ? 0 : std::stoul(length));
    }
};

/// The connection on which a script answers.
class scripted_connection {
public:
    scripted_connection(int socket, const std::atomic<bool>& stopping)
        : m_socket(socket), m_stopping(stopping) {}

    /// Sends bytes. Returns false once the peer has closed the connection or the engine stops.
    bool send(const std::string& bytes) const {
        return !m_stopping && ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                                  static_cast<ssize_t>(bytes.size());
    }
    /// Ends the connection after what was sent.
    void close() const { ::shutdown(m_socket, SHUT_RDWR); }
    /// Resets the connection. Its descriptor stays open, as the engine closes it.
    void reset() const {
        sockaddr unconnected{};
        unconnected.sa_family = AF_UNSPEC;
        ::connect(m_socket, &unconnected, sizeof(unconnected));
    }
    /// Waits until the peer closes the connection. Returns false after `limit`.
    [[nodiscard]] bool wait_until_closed(std::chrono::milliseconds limit) const {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!m_stopping && std::chrono::steady_clock::now() < end) {
            char byte = 0;
            if (::recv(m_socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }

private:
    int m_socket;
    const std::atomic<bool>& m_stopping;
};

/// Sends the answer to one request, or none.
using engine_script = std::function<void(const scripted_connection&, const scripted_request&)>;

/// Passes each request to the script. The script runs on the thread of its connection.
class scripted_engine {
public:
    explicit scripted_engine(engine_script script) : m_script(std::move(script)) {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        constexpr int backlog = 16;
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(m_listener, backlog) != 0 ||
            ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            throw std::runtime_error("scripted_engine: cannot listen");
        }
        port = ntohs(address.sin_port);
        m_acceptor = std::thread([this] { accept_connections(); });
    }
    scripted_engine(const scripted_engine&) = delete;
    scripted_engine& operator=(const scripted_engine&) = delete;
    ~scripted_engine() {
        m_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        for (auto& [socket, thread] : m_connections) {
            ::shutdown(socket, SHUT_RDWR);
            thread.join();
            ::close(socket);
        }
    }

    /// Returns the number of requests that arrived.
    [[nodiscard]] int received() const { return m_received; }

    std::uint16_t port = 0;

private:
    void accept_connections() {
        for (int socket = ::accept(m_listener, nullptr, nullptr); socket >= 0;
             socket = ::accept(m_listener, nullptr, nullptr)) {
            const int enabled = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            m_connections.emplace_back(socket, [this, socket] { serve(socket); });
        }
    }

    void serve(int socket) {
        const scripted_connection connection(socket, m_stopping);
        scripted_request request;
        std::array<char, 4096> buffer{};
        for (auto size = ::recv(socket, buffer.data(), buffer.size(), 0); size > 0;
             size = ::recv(socket, buffer.data(), buffer.size(), 0)) {
            request.text.append(buffer.data(), static_cast<std::size_t>(size));
            if (request.is_whole()) {
                request.number = ++m_received;
                ++request.number_on_connection;
                m_script(connection, request);
                request.text.clear();
            }
        }
        ::shutdown(socket, SHUT_RDWR);
    }

    engine_script m_script;
    int m_listener = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_received{0};
    std::thread m_acceptor;
    std::vector<std::pair<int, std::thread>> m_connections; // used by m_acceptor until it ends
};

} // namespace savoryrelay::tests
