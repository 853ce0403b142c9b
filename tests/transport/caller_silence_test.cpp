// Tests what the callers' front end does with silent endpoints and with answers that make
// no progress: a call leaves its endpoint only for another one, and ends at its deadline.
#include "support/front_fixture.h"
#include "support/scripted_engine.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// Longer than the limits of the fixture's deployments.
constexpr auto long_pause = 700ms;
constexpr const char* long_deadline_ms = "10000";
// A bound far below the long deadline.
constexpr auto prompt_end = 3s;

std::string stream_head(const scripted_request& request) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSavoryrelay-Can-Resume: true\r\n"
           "Savoryrelay-Request-Id: " +
           request.field("Savoryrelay-Request-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& bytes) {
    constexpr std::size_t radix = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    return std::string{digits[bytes.size() / radix], digits[bytes.size() % radix]} + "\r\n" +
           bytes + "\r\n";
}

std::string event(int number) {
    return "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "\n\n";
}

const std::string final_event = "data: [DONE]\n\n";
const std::string last_chunk = "0\r\n\r\n";

std::string whole_stream() {
    return event(0) + event(1) + final_event;
}

std::string plain_head(const scripted_request& request, std::size_t size) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nSavoryrelay-Request-Id: " +
           request.field("Savoryrelay-Request-Id") + "\r\nContent-Length: " + std::to_string(size) +
           "\r\n\r\n";
}

void pause(std::chrono::milliseconds span) {
    std::this_thread::sleep_for(span);
}

// Sends `bytes` in chunks of a stream until the peer closes the connection.
void drip(const scripted_connection& connection, const std::string& bytes) {
    while (connection.send(chunk(bytes))) {
        pause(20ms);
    }
}

} // namespace

TEST_CASE("calls: no endpoint works on for a caller that has gone") {
    std::atomic<bool> is_closed{false};
    const scripted_engine engine([&](const auto& connection, const auto&) {
        is_closed = connection.wait_until_closed(prompt_end);
    });
    const front_fixture front({engine.port}, 10s);
    {
        const auto open = front.begin_stream(long_deadline_ms);
        while (engine.received() == 0) {
            pause(5ms);
        }
    }
    const auto gone_at = test_clock::now();
    while (!is_closed && test_clock::now() - gone_at < prompt_end) {
        pause(5ms);
    }
    CHECK(is_closed);
    CHECK(test_clock::now() - gone_at < 500ms);
}
