// Tests answers that an endpoint sends twice, late or in part on a connection that is in
// use again, and informational heads before an answer. Each caller gets its own answer or
// a truthful failure.
#include "edge_fixture.h"
#include "support/kept_connection.h"

#include <netinet/tcp.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

using namespace savoryrelay::tests;

namespace {

// Returns a complete answer to the request with this id.
using answer_hook = std::function<std::string(const std::string& path, const std::string& id)>;
// Returns what the endpoint sends for a request: by default, `own`. `previous` is the last
// answer on the same connection, or empty.
using delivery_hook =
    std::function<std::string(const std::string& previous, const std::string& own)>;

std::string head_of(const std::string& status, const std::string& id) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nAttempt-Id: " + id +
           "\r\nServer-Seal: seal-" + id + "\r\n";
}

std::string plain_answer(const std::string& status, const std::string& id) {
    const auto body = "ran " + id;
    return head_of(status, id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string stream_body(const std::string& id) {
    return "id: 0\ndata: " + id + "\n\nid: 1\ndata: " + id + "\n\n";
}

std::string own_answer(const std::string& path, const std::string& id) {
    if (path != "/feed/1") {
        return plain_answer("200 OK", id);
    }
    const auto body = stream_body(id);
    std::string size = "00";
    constexpr std::size_t radix = 16;
    size[0] = "0123456789abcdef"[body.size() / radix];
    size[1] = "0123456789abcdef"[body.size() % radix];
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + id +
           "\r\nServer-Seal: seal-" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size +
           "\r\n" + body + "\r\n0\r\n\r\n";
}

std::string rejection(const std::string& status, const std::string& id) {
    return head_of(status, id) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string own_only(const std::string&, const std::string& own) {
    return own;
}

// An endpoint whose answers and deliveries the test sets. Counts the runs of each request.
class scripted_endpoint {
public:
    scripted_endpoint() {
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
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    ~scripted_endpoint() {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto& [connection, last] : m_last_answers) {
                ::shutdown(connection, SHUT_RDWR);
            }
        }
        for (auto& thread : m_threads) {
            thread.join();
        }
    }

    void set(answer_hook answer, delivery_hook deliver) {
        const std::scoped_lock lock(m_mutex);
        m_answer = std::move(answer);
        m_deliver = std::move(deliver);
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
            const std::scoped_lock lock(m_mutex);
            m_last_answers[connection];
            m_threads.emplace_back([this, connection] { serve(connection); });
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

    void answer(int connection, const std::string& request) {
        const auto path_begin = request.find(' ') + 1;
        const auto path = request.substr(path_begin, request.find(' ', path_begin) - path_begin);
        const auto id = field(request, "Attempt-Id");
        const std::scoped_lock lock(m_mutex);
        auto& last = m_last_answers[connection];
        ++m_received;
        m_reused += last.empty() ? 0 : 1;
        const auto own = m_answer(path, id);
        m_runs[id] += own.find("\r\nNot-Executed:") == std::string::npos ? 1 : 0;
        send_text(connection, m_deliver(last, own));
        last = own;
    }

    int m_listener = -1;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads; // added by m_acceptor only

    std::mutex m_mutex; // guards the members below
    answer_hook m_answer = own_answer;
    delivery_hook m_deliver = own_only;
    std::map<std::string, int> m_runs;
    std::map<int, std::string> m_last_answers; // of each open connection; empty: none yet
    int m_received = 0;
    int m_reused = 0;
};

constexpr std::array<const char*, 3> paths{"/look/1", "/book/1", "/feed/1"};

struct call_result {
    std::string id;
    kept_answer answer;
};

struct late_fixture : edge_fixture {
    late_fixture() : edge_fixture(1, 0) {
        write_entry("p1", "orders", endpoint.port, "");
        hosts[0]->wait_until_ready();
        callers.emplace(hosts[0]->callers);
        // Until the host has read the entry, the runner of the fixture answers.
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (endpoint.received() == 0) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            callers->fetch(http::verb::get, "/look/1", "", headers("first"));
        }
    }

    /// Sends requests until one reaches the endpoint, which the host avoids for some time
    /// after a failure.
    call_result call(const std::string& path) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        const int received_before = endpoint.received();
        auto result = call_once(path);
        while (endpoint.received() == received_before) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            result = call_once(path);
        }
        return result;
    }

    /// Sends requests until one is served.
    void call_until_served(const std::string& path) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!is_served(call(path))) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
        }
    }

    /// Sends pairs of requests until the second one comes on the connection of the first.
    /// Returns the result of the second one.
    call_result call_on_reused(const std::string& path, const answer_hook& first_answer,
                               const answer_hook& next_answer, const delivery_hook& deliver) {
        constexpr int max_pairs = 20;
        for (int i = 0; i < max_pairs; ++i) {
            endpoint.set(own_answer, own_only);
            call_until_served(path);
            endpoint.set(first_answer, own_only);
            call(path);
            endpoint.set(next_answer, deliver);
            const int reused_before = endpoint.reused();
            auto result = call(path);
            endpoint.set(own_answer, own_only);
            if (endpoint.reused() > reused_before) {
                return result;
            }
        }
        FAIL("no connection was used again");
        return {};
    }

    /// Waits until the host knows a second runner id at the endpoint's address: a request that is
    /// rejected at one of them is sent to the other.
    void add_runner_id() {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        endpoint.set([](const auto&, const auto& id) { return rejection("503 Full", id); },
                     own_only);
        for (int attempts = 0; attempts < 2;) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            const int received_before = endpoint.received();
            call("/look/1");
            attempts = endpoint.received() - received_before;
        }
    }

    /// Sends requests whose first attempt is rejected with `status`, and rejected once more by a
    /// copy that comes in front of the answer to their second attempt. Returns how many were
    /// served, each after two attempts.
    int served_after_rejection(const std::string& path, const std::string& status) {
        constexpr int requests = 10;
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            endpoint.set(own_answer, own_only);
            call_until_served(path); // leaves an idle connection
            int attempts = 0;
            endpoint.set(
                [&](const auto& called, const auto& id) {
                    return attempts++ == 0 ? rejection(status, id) : own_answer(called, id);
                },
                [](const auto& previous, const auto& own) {
                    const bool is_rejected = previous.find("Not-Executed") != std::string::npos;
                    return is_rejected ? previous + own : own;
                });
            const auto result = call(path);
            endpoint.set(own_answer, own_only);
            CAPTURE(result.answer.status, attempts);
            CHECK((attempts < 2 || is_served(result)));
            served += attempts == 2 && is_served(result) ? 1 : 0;
        }
        return served;
    }

    /// Sends requests that are rejected, and sends each again with its id: a copy of the rejection
    /// comes in front of the answer to the next request on its connection. Returns how many were
    /// served then.
    int served_when_sent_again(const std::string& path) {
        constexpr int requests = 10;
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            endpoint.set(own_answer, own_only);
            call_until_served(path); // leaves an idle connection
            endpoint.set([](const auto&,
                            const auto& id) { return rejection("503 Service Unavailable", id); },
                         own_only);
            const auto rejected = call(path);
            CHECK(rejected.answer.status == 503);
            endpoint.set(own_answer, [](const auto& previous, const auto& own) {
                const bool is_rejected = previous.find("Not-Executed") != std::string::npos;
                return is_rejected ? previous + own : own;
            });
            served += is_served(call_once(path, rejected.id)) ? 1 : 0;
        }
        return served;
    }

    static std::string own_body(const std::string& path, const std::string& id) {
        return path == "/feed/1" ? stream_body(id) : "ran " + id;
    }

    [[nodiscard]] static bool is_served(const call_result& result) {
        return result.answer.status == 200 && result.answer.is_complete;
    }

    scripted_endpoint endpoint;
    std::optional<kept_connection> callers; // one connection is served by one thread of the host

private:
    /// Sends one request, with the next id or the given one, and checks that what its caller sees
    /// is true.
    call_result call_once(const std::string& path) {
        return call_once(path, "late-" + std::to_string(m_calls++));
    }
    call_result call_once(const std::string& path, const std::string& id) {
        call_result result{id, {}};
        auto call_headers = headers(result.id);
        call_headers[3].second = "1500";
        result.answer = callers->fetch(path == "/look/1" ? http::verb::get : http::verb::post, path,
                                       path == "/look/1" ? "" : "x", call_headers);
        const auto& answer = result.answer;
        const int runs = endpoint.runs(result.id);
        CAPTURE(path, result.id, answer.status, answer.body, answer.error, runs);
        CHECK(answer.status != 0);
        if (answer.status < 300) {
            CHECK(answer.status == 200);
            CHECK(answer.request_id == result.id);
            CHECK(answer.seal == "seal-" + result.id);
            CHECK((!answer.is_complete || answer.body == own_body(path, result.id)));
            CHECK(runs > 0);
        }
        if (answer.status == 503) {
            CHECK(runs == 0);
        }
        if (!answer.seal.empty()) {
            CHECK(answer.seal == "seal-" + result.id);
        }
        if (path != "/look/1") {
            CHECK(runs <= 1);
        }
        return result;
    }

    int m_calls = 0;
};

std::string previous_and_own(const std::string& previous, const std::string& own) {
    return previous + own;
}

} // namespace

TEST_CASE("edge: a second copy of an answer reaches no caller") {
    late_fixture fixture;
    for (const std::string path : paths) {
        INFO(path);
        // The copy follows its original.
        fixture.endpoint.set(own_answer, [](const auto&, const auto& own) { return own + own; });
        for (int i = 0; i < 3; ++i) {
            CHECK(fixture.is_served(fixture.call(path)));
        }
        fixture.endpoint.set(own_answer, own_only);
        CHECK(fixture.is_served(fixture.call(path)));

        // The copy comes while the connection is idle.
        for (int i = 0; i < 3; ++i) {
            fixture.endpoint.send_on_idle([](const auto& last) { return last; });
            CHECK(fixture.is_served(fixture.call(path)));
        }

        // The copy comes in front of the answer to the next request.
        const auto next = fixture.call_on_reused(path, own_answer, own_answer, previous_and_own);
        CHECK(fixture.is_served(next));
        CHECK(fixture.is_served(fixture.call(path)));
    }
}

TEST_CASE("edge: a second copy of a rejection doesn't reject the next request") {
    late_fixture fixture;
    for (const std::string path : paths) {
        for (const std::string status : {"503 Service Unavailable", "421 Misdirected Request"}) {
            INFO(path << " " << status);
            const auto next = fixture.call_on_reused(
                path, [&](const auto&, const auto& id) { return rejection(status, id); },
                own_answer, previous_and_own);
            CHECK(fixture.is_served(next));
        }
    }
}

TEST_CASE("edge: a second copy of a rejection doesn't reject the same request's next attempt") {
    late_fixture fixture;
    // A runner that came back under a new id, while the entry of its former id still stands.
    fixture.write_entry("p2", "orders", fixture.endpoint.port, "");
    fixture.add_runner_id();
    for (const std::string path : {"/look/1", "/book/1"}) {
        for (const std::string status : {"503 Service Unavailable", "421 Misdirected Request"}) {
            INFO(path << " " << status);
            CHECK(fixture.served_after_rejection(path, status) >= 3);
        }
    }
}

TEST_CASE("edge: a second copy of a rejection doesn't reject a request that its caller repeats") {
    late_fixture fixture;
    for (const std::string path : paths) {
        INFO(path);
        CHECK(fixture.served_when_sent_again(path) == 10);
    }
}

TEST_CASE("edge: a second copy of a rejection without an id doesn't reject the next request") {
    late_fixture fixture;
    const answer_hook rejects = [](const auto&, const auto&) {
        return std::string("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
    };
    for (const std::string path : paths) {
        INFO(path);
        fixture.endpoint.set(own_answer, own_only);
        fixture.call_until_served(path);
        fixture.endpoint.set(rejects, own_only);
        CHECK(fixture.call(path).answer.status == 503);
        fixture.endpoint.set(own_answer, previous_and_own);
        CHECK(fixture.is_served(fixture.call(path)));
    }
}

TEST_CASE("edge: a second copy of a failure is not the answer to the next request") {
    late_fixture fixture;
    for (const std::string path : paths) {
        INFO(path);
        const auto next = fixture.call_on_reused(
            path, [](const auto&, const auto& id) { return plain_answer("500 Failed", id); },
            own_answer, previous_and_own);
        CHECK(fixture.is_served(next));
    }
}

TEST_CASE("edge: a part of a second copy doesn't mix with the next answer") {
    late_fixture fixture;
    // The part ends in the reason, in the value of a field and in the body.
    const std::array<std::function<std::string(const std::string&)>, 3> parts{
        [](const std::string& copy) { return copy.substr(0, copy.find("OK\r\n") + 1); },
        [](const std::string& copy) { return copy.substr(0, copy.find("text/") + 5); },
        [](const std::string& copy) { return copy.substr(0, copy.find("\r\n\r\n") + 8); }};
    const answer_hook failure = [](const std::string&, const std::string& id) {
        return plain_answer("500 Failed", id);
    };
    for (const std::string path : paths) {
        for (std::size_t part = 0; part < parts.size(); ++part) {
            INFO(path << " part " << part);
            const auto& cut = parts[part];
            fixture.call_until_served(path);
            fixture.endpoint.send_on_idle(cut);
            CHECK(fixture.is_served(fixture.call(path)));
            // A status of the part may hide that of the answer which follows it.
            for (const bool fails : {false, true}) {
                const auto next = fixture.call_on_reused(
                    path, own_answer, fails ? answer_hook(failure) : answer_hook(own_answer),
                    [&](const auto& previous, const auto& own) { return cut(previous) + own; });
                CHECK((next.answer.status != 200 || !fails));
            }
        }
    }
}

TEST_CASE("edge: informational heads before an answer are not the answer") {
    late_fixture fixture;
    const auto early_hints = [](const std::string& own) {
        const auto begin = own.find("Attempt-Id: ");
        return "HTTP/1.1 103 Early Hints\r\n" +
               own.substr(begin, own.find("\r\n", begin) + 2 - begin) + "\r\n";
    };
    const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::array<delivery_hook, 3> deliveries{
        [&](const auto&, const auto& own) { return proceed + own; },
        [&](const auto&, const auto& own) { return early_hints(own) + own; },
        [&](const auto&, const auto& own) {
            return proceed + early_hints(own) + proceed + early_hints(own) + proceed + own;
        }};
    for (const std::string path : paths) {
        for (std::size_t i = 0; i < deliveries.size(); ++i) {
            INFO(path << " delivery " << i);
            fixture.endpoint.set(own_answer, deliveries[i]);
            CHECK(fixture.is_served(fixture.call(path)));
            fixture.endpoint.set(own_answer, own_only);
            fixture.call_until_served(path);
        }
    }
}

TEST_CASE("edge: informational heads without end are refused in time") {
    late_fixture fixture;
    std::string heads;
    constexpr int many = 100'000;
    for (int i = 0; i < many; ++i) {
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    for (const std::string path : paths) {
        INFO(path);
        fixture.endpoint.set(own_answer, [&](const auto&, const auto&) { return heads; });
        const auto result = fixture.call(path);
        CHECK((result.answer.status == 502 || result.answer.status == 504));
        fixture.endpoint.set(own_answer, own_only);
        fixture.call_until_served(path);
    }
}
