// Tests streams without a length whose endpoint falls silent and then resets the connection, while
// another endpoint refuses to take them over.
#include "edge_fixture.h"
#include "support/scripted_engine.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr int event_count = 5;
constexpr int events_before_silence = 2;
constexpr auto poll_interval = 5ms;
// Longer than a reset takes to arrive on the loopback.
constexpr auto reset_arrival = 50ms;
constexpr auto silence_limit = 3s;

std::string event(int number) {
    const auto text = std::to_string(number);
    return "id: " + text + "\ndata: t" + text + "\n\n";
}

std::string events(int first, int end) {
    std::string all;
    for (int number = first; number < end; ++number) {
        all += event(number);
    }
    return all;
}

std::string head_of_stream(const scripted_request& request) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: " + request.field("Attempt-Id") +
           "\r\nServer-Seal: s1\r\nContent-Type: text/event-stream\r\n\r\n";
}

// Two endpoints. The one that a stream reaches first falls silent after some events. It resets
// the stream when the other one has got the call, which refuses it then.
struct reset_stream_fixture : edge_fixture {
    reset_stream_fixture() {
        write_row("op", "config", R"({"version":2,"routes":[
 {"name":"tell","host":"a.example","path_prefix":"/tell/","kind":"streaming","timeout_ms":5000,
  "latency_target_ms":500,"gap_target_ms":300,"max_attempts":2,"stream_resume":true,
  "service":"orders"},
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent",
  "timeout_ms":3000,"latency_target_ms":200,"max_attempts":2,"service":"orders"}],
 "services":[{"name":"orders"}],"limits":{},
 "tenants":[{"name":"workshop","api_keys":["k1"]}]})");
        write_entry("p1", "orders", std::to_string(first.port), "");
        write_entry("p2", "orders", std::to_string(second.port), "");
        hosts[0]->wait_until_ready();
        while (first.received() == 0 || second.received() == 0) { // not both are known yet
            call("/look/1");
        }
    }

    test_answer call(const std::string& path) {
        const auto id = "s" + std::to_string(m_calls++);
        return fetch(hosts[0]->callers, http::verb::post, path, "prompt", headers(id));
    }

    void answer(const scripted_connection& connection, const scripted_request& request) {
        if (request.text.find("/look/") != std::string::npos) {
            connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
                            "\r\nServer-Seal: s1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const auto attempt = ++attempts;
        if (attempt == 1) {
            connection.send(head_of_stream(request) + events(0, events_before_silence));
            const auto end = std::chrono::steady_clock::now() + silence_limit;
            while (attempts == 1 && std::chrono::steady_clock::now() < end) {
                std::this_thread::sleep_for(poll_interval);
            }
            connection.reset();
            std::this_thread::sleep_for(reset_arrival);
            is_reset = true;
        } else if (attempt == 2) {
            while (!is_reset) {
                std::this_thread::sleep_for(poll_interval);
            }
            connection.send("HTTP/1.1 503 Busy\r\nAttempt-Id: " + request.field("Attempt-Id") +
                            "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            const auto last = request.field("Last-Event-Id");
            connection.send(head_of_stream(request) +
                            events(last.empty() ? 0 : std::stoi(last) + 1, event_count));
            connection.close();
        }
    }

    std::atomic<int> attempts{0}; // of streams at both endpoints
    std::atomic<bool> is_reset{false};
    scripted_engine first{
        [this](const auto& connection, const auto& request) { answer(connection, request); }};
    scripted_engine second{
        [this](const auto& connection, const auto& request) { answer(connection, request); }};

private:
    int m_calls = 0;
};

} // namespace

// Guards against a truncated stream that looks complete to its caller: a look at the connection of
// a silent endpoint took the reset off the socket.
TEST_CASE("edge: a stream without a length that its silent endpoint resets is not complete") {
    reset_stream_fixture fixture;
    const auto answer = fixture.call("/tell/1");
    CAPTURE(answer.status, answer.body, answer.error);
    CHECK(fixture.attempts >= 2);
    CHECK(answer.body.starts_with(events(0, events_before_silence)));
    CHECK(answer.is_complete == (answer.body == events(0, event_count)));
}
