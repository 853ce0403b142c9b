// Tests answers that an endpoint sends twice, late or in part on a connection that is in
// use again, and informational heads before an answer. Each caller gets its own answer or
// a truthful failure.
#include "edge_fixture.h"
#include "support/kept_connection.h"
#include "support/persistent_endpoint.h"

#include <array>
#include <chrono>
#include <functional>

using namespace savoryrelay::tests;

namespace {

std::string stream_body(const std::string& id) {
    return "id: 0\ndata: " + id + "\n\nid: 1\ndata: " + id + "\n\n";
}

std::string own_answer(const endpoint_request& request) {
    const auto& id = request.id;
    if (request.path != "/feed/1") {
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
        endpoint.set([](const auto& request) { return rejection("503 Full", request.id); },
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
                [&](const auto& request) {
                    return attempts++ == 0 ? rejection(status, request.id) : own_answer(request);
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
            endpoint.set(
                [](const auto& request) {
                    return rejection("503 Service Unavailable", request.id);
                },
                own_only);
            const auto rejected = call(path);
            CHECK(rejected.answer.status == 503);
            endpoint.set(own_answer, [](const auto& previous, const auto& own) {
                return is_rejection(previous) ? previous + own : own;
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

    persistent_endpoint endpoint{own_answer};
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
                path, [&](const auto& request) { return rejection(status, request.id); },
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
    const answer_hook rejects = [](const auto&) {
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
            path, [](const auto& request) { return plain_answer("500 Failed", request.id); },
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
    const answer_hook failure = [](const endpoint_request& request) {
        return plain_answer("500 Failed", request.id);
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
