// An endpoint that answers many requests on each connection. The test sets its answers and what
// it sends for each of them.
#pragma once

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// What a hook sees of a request.
struct endpoint_request {
    std::string path;
    std::string id;
    std::string instance; ///< id of the endpoint that the request is meant for
};

/// Returns a complete answer to a request.
using answer_hook = std::function<std::string(const endpoint_request& request)>;
/// Returns what the endpoint sends for a request: by default, `own`. `previous` is the last
/// answer on the same connection, or empty.
using delivery_hook =
    std::function<std::string(const std::string& previous, const std::string& own)>;
/// Returns the time between the run of a request and its answer.
using delay_hook = std::function<std::chrono::milliseconds()>;

inline std::string head_of(const std::string& status, const std::string& id) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nAttempt-Id: " + id +
           "\r\nServer-Seal: seal-" + id + "\r\n";
}

inline std::string plain_answer(const std::string& status, const std::string& id) {
    const auto body = "ran " + id;
    return head_of(status, id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline std::string rejection(const std::string& status, const std::string& id) {
    return head_of(status, id) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

inline bool is_rejection(const std::string& answer) {
    return answer.find("\r\nNot-Executed:") != std::string::npos;
}

inline std::string own_only(const std::string&, const std::string& own) {
    return own;
}

/// Listens on a port of 127.0.0.1. Counts the runs of each request.
class persistent_endpoint {
public:
    explicit persistent_endpoint(answer_hook answer) : m_answer(std::move(answer)) {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        constexpr int backlog = 16;
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, backlog) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = std::to_string(ntohs(address.sin_port));
        m_acceptor = std::thread([this] { accept_connections(); });
    }
    persistent_endpoint(const persistent_endpoint&) = delete;
    persistent_endpoint& operator=(const persistent_endpoint&) = delete;
    ~persistent_endpoint() {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        close_connections();
        std::map<int, std::thread> open;
        {
            const std::scoped_lock lock(m_mutex);
            open.swap(m_threads);
        }
        for (auto& [connection, thread] : open) {
            thread.join();
        }
        join_ended();
    }

    void set(answer_hook answer, delivery_hook deliver) {
        const std::scoped_lock lock(m_mutex);
        m_answer = std::move(answer);
        m_deliver = std::move(deliver);
    }

    void set_delay(delay_hook delay) {
        const std::scoped_lock lock(m_mutex);
        m_delay = std::move(delay);
    }

    [[nodiscard]] int runs(const std::string& id) {
        const std::scoped_lock lock(m_mutex);
        return m_runs[id];
    }

    /// Returns the number of requests that came.
    [[nodiscard]] int received() {
        const std::scoped_lock lock(m_mutex);
        return m_received;
    }

    /// Returns the number of requests that came on a connection that had carried another.
    [[nodiscard]] int reused() {
        const std::scoped_lock lock(m_mutex);
        return m_reused;
    }

    /// Sends `text_of` the last answer on each open connection that has carried one.
    void send_on_idle(const std::function<std::string(const std::string& last)>& text_of) {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [connection, last] : m_last_answers) {
            if (!last.empty()) {
                send_text(connection, text_of(last));
            }
        }
    }

    /// Ends all open connections, as a process that ends.
    void close_connections() {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [connection, last] : m_last_answers) {
            ::shutdown(connection, SHUT_RDWR);
        }
    }

    std::string port;

private:
    static void send_text(int connection, const std::string& text) {
        static_cast<void>(::send(connection, text.data(), text.size(), MSG_NOSIGNAL));
    }

    void accept_connections() {
        for (int connection = ::accept(m_listener, nullptr, nullptr); connection >= 0;
             connection = ::accept(m_listener, nullptr, nullptr)) {
            // A part of an answer is sent at once.
            const int enabled = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            join_ended();
            const std::scoped_lock lock(m_mutex);
            m_last_answers[connection];
            m_threads.emplace(connection, [this, connection] { serve(connection); });
        }
    }

    void join_ended() {
        std::vector<std::thread> ended;
        {
            const std::scoped_lock lock(m_mutex);
            ended.swap(m_ended_threads);
        }
        for (auto& thread : ended) {
            thread.join();
        }
    }

    void serve(int connection) {
        std::string received;
        std::array<char, 4096> buffer{};
        for (auto size = ::recv(connection, buffer.data(), buffer.size(), 0); size > 0;
             size = ::recv(connection, buffer.data(), buffer.size(), 0)) {
            received.append(buffer.data(), static_cast<std::size_t>(size));
            if (is_whole(received)) {
                answer(connection, received);
                received.clear();
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_last_answers.erase(connection);
        if (auto thread = m_threads.extract(connection)) { // the number may come again
            m_ended_threads.push_back(std::move(thread.mapped()));
        }
        ::close(connection);
    }

    static std::string field(const std::string& request, const std::string& name) {
        const auto at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

    static bool is_whole(const std::string& request) {
        const auto head_end = request.find("\r\n\r\n");
        const auto length = field(request, "Content-Length");
        return head_end != std::string::npos &&
               request.size() >= head_end + 4 + (length.empty() ? 0 : std::stoul(length));
    }

    void answer(int connection, const std::string& text) {
        const auto path_begin = text.find(' ') + 1;
        const endpoint_request request{
            text.substr(path_begin, text.find(' ', path_begin) - path_begin),
            field(text, "Attempt-Id"), field(text, "Expect-Instance")};
        std::unique_lock lock(m_mutex);
        auto& last = m_last_answers[connection];
        ++m_received;
        m_reused += last.empty() ? 0 : 1;
        const auto own = m_answer(request);
        m_runs[request.id] += is_rejection(own) ? 0 : 1;
        if (const auto delay = m_delay(); delay.count() > 0) {
            lock.unlock();
            std::this_thread::sleep_for(delay);
            lock.lock();
        }
        send_text(connection, m_deliver(last, own));
        last = own;
    }

    int m_listener = -1;
    std::thread m_acceptor;

    std::mutex m_mutex;                   // guards the members below
    std::map<int, std::thread> m_threads; // of each open connection
    std::vector<std::thread> m_ended_threads;
    answer_hook m_answer;
    delivery_hook m_deliver = own_only;
    delay_hook m_delay = [] { return std::chrono::milliseconds(0); };
    std::map<std::string, int> m_runs;
    std::map<int, std::string> m_last_answers; // of each open connection; empty: none yet
    int m_received = 0;
    int m_reused = 0;
};

} // namespace savoryrelay::tests
