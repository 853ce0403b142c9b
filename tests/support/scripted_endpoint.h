// An endpoint whose answers a test writes byte by byte.
#pragma once

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace savoryrelay::tests {

/// Returns the value of the header field `name` in the head of a request, or nothing.
inline std::string field_of(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Listens on a port of 127.0.0.1 and answers one request on each connection with the bytes
/// that the hook returns for its head. Then it closes the connection.
class scripted_endpoint {
public:
    using answer_hook = std::function<std::string(const std::string& head)>;

    explicit scripted_endpoint(answer_hook answer) : m_answer(std::move(answer)) { start(0); }
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    ~scripted_endpoint() { stop(); }

    /// Listens on the same port again after `ends_with_answer` has taken effect.
    void restart() {
        stop();
        start(static_cast<std::uint16_t>(std::stoi(port)));
    }

    std::string port;
    std::atomic<int> requests{0}; ///< requests whose head has arrived
    /// Refuses connections from the next answer on, as a process that ends with it.
    std::atomic<bool> ends_with_answer{false};

private:
    void start(std::uint16_t wanted_port) {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int reuse = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(wanted_port);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 16) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = std::to_string(ntohs(address.sin_port));
        m_is_stopping = false;
        m_thread = std::thread([this] { serve(); });
    }

    void stop() {
        m_is_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    void serve() {
        while (!m_is_stopping) {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            if (connection >= 0) {
                answer_one(connection);
                ::close(connection);
            }
        }
    }

    void answer_one(int connection) {
        std::string head;
        char byte = 0;
        while (head.find("\r\n\r\n") == std::string::npos) {
            if (::recv(connection, &byte, 1, 0) != 1) {
                return;
            }
            head += byte;
        }
        ++requests;
        // Unread bytes at the close would reset the connection and discard the answer.
        const auto length = field_of(head, "Content-Length");
        for (int left = length.empty() ? 0 : std::stoi(length); left > 0; --left) {
            if (::recv(connection, &byte, 1, 0) != 1) {
                return;
            }
        }
        const auto bytes = m_answer(head);
        if (ends_with_answer) {
            m_is_stopping = true;
            ::shutdown(m_listener, SHUT_RDWR); // refuses connections from now on
        }
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    answer_hook m_answer;
    int m_listener = -1;
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
};

} // namespace savoryrelay::tests
