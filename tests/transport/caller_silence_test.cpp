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

TEST_CASE("calls: a stream is not cut while its only endpoint is silent") {
    const scripted_engine engine([](const auto& connection, const auto& request) {
        pause(long_pause);
        connection.send(stream_head(request));
        pause(long_pause);
        connection.send(chunk(event(0)));
        pause(long_pause);
        connection.send(chunk(event(1) + final_event) + last_chunk);
    });
    const front_fixture front({engine.port});
    const auto answer = front.stream(long_deadline_ms);
    CAPTURE(answer.status, answer.error);
    CHECK(answer.is_complete);
    CHECK(answer.body == whole_stream());
    CHECK(engine.received() == 1);
}

TEST_CASE("calls: an answer is awaited until the deadline if no other endpoint can give it") {
    const scripted_engine engine([](const auto& connection, const auto& request) {
        pause(long_pause);
        connection.send(plain_head(request, 4) + "do");
        pause(long_pause);
        connection.send("ne");
    });
    const front_fixture front({engine.port});
    const auto looked = front.look(long_deadline_ms);
    CAPTURE(looked.status, looked.error);
    CHECK(looked.status == 200);
    CHECK(looked.body == "done");
    CHECK(engine.received() == 1);
}

TEST_CASE("calls: a call that may run once is awaited until its deadline and sent once") {
    const engine_script slow = [](const auto& connection, const auto& request) {
        pause(long_pause);
        connection.send(plain_head(request, 4) + "done");
    };
    const scripted_engine first(slow);
    const scripted_engine second(slow);
    const front_fixture front({first.port, second.port});
    const auto booked = front.book(long_deadline_ms);
    CAPTURE(booked.status, booked.error);
    CHECK(booked.status == 200);
    CHECK(booked.outcome == "ran");
    CHECK(first.received() + second.received() == 1);
}

TEST_CASE("calls: a silent endpoint is left for another one, and the last one is awaited") {
    std::atomic<int> requests{0};
    const engine_script script = [&](const auto& connection, const auto& request) {
        if (++requests == 1) {
            connection.send(stream_head(request) + chunk(event(0)));
            static_cast<void>(connection.wait_until_closed(10s));
            return;
        }
        pause(long_pause);
        connection.send(stream_head(request) + chunk(event(1) + final_event) + last_chunk);
    };
    const scripted_engine first(script);
    const scripted_engine second(script);
    const front_fixture front({first.port, second.port});
    const auto answer = front.stream(long_deadline_ms);
    CAPTURE(answer.status, answer.error);
    CHECK(answer.is_complete);
    CHECK(answer.body == whole_stream());
    CHECK(first.received() == 1);
    CHECK(second.received() == 1);
}

TEST_CASE("calls: a call to silent endpoints ends at its deadline") {
    const engine_script silent = [](const auto& connection, const auto&) {
        static_cast<void>(connection.wait_until_closed(20s));
    };
    const scripted_engine first(silent);
    const scripted_engine second(silent);
    const front_fixture front({first.port, second.port});
    const auto begin = test_clock::now();
    const auto answer = front.stream("1200");
    const auto elapsed = test_clock::now() - begin;
    CHECK(answer.status >= 500);
    CHECK(answer.outcome == "unknown");
    CHECK(elapsed >= 1200ms);
    CHECK(elapsed < prompt_end);
    CHECK(first.received() == 1);
    CHECK(second.received() == 1);
}

TEST_CASE("calls: a stream whose events are never whole ends long before its deadline") {
    for (const std::string bytes : {"x", ": ping\n\n", ":\n"}) {
        for (const bool has_begun : {false, true}) {
            CAPTURE(bytes, has_begun);
            const scripted_engine engine([&](const auto& connection, const auto& request) {
                const bool is_first = request.number == 1;
                connection.send(stream_head(request) +
                                (has_begun && is_first ? chunk(event(0)) : ""));
                drip(connection, bytes);
            });
            const front_fixture front({engine.port});
            const auto begin = test_clock::now();
            const auto answer = front.stream(long_deadline_ms);
            CHECK(test_clock::now() - begin < prompt_end);
            CHECK(answer.status == (has_begun ? 200 : 502));
            CHECK_FALSE((answer.is_complete && answer.status == 200));
        }
    }
}

TEST_CASE("calls: an event that arrives in pieces after a pause is relayed") {
    const scripted_engine engine([](const auto& connection, const auto& request) {
        connection.send(stream_head(request) + chunk(event(0)));
        pause(long_pause);
        const auto next = event(1);
        connection.send(chunk(next.substr(0, 3)));
        pause(40ms);
        connection.send(chunk(next.substr(3) + final_event) + last_chunk);
    });
    const front_fixture front({engine.port});
    const auto answer = front.stream(long_deadline_ms);
    CHECK(answer.body == whole_stream());
    CHECK(engine.received() == 1);
}

TEST_CASE("calls: a stream without end is not relayed past the deadline") {
    std::atomic<bool> is_closed{false};
    const scripted_engine engine([&](const auto& connection, const auto& request) {
        connection.send(stream_head(request));
        bool is_open = true;
        for (int number = 0; is_open;) {
            std::string events;
            constexpr int events_per_send = 100;
            for (int i = 0; i < events_per_send; ++i) {
                events += chunk(event(number++));
            }
            is_open = connection.send(events);
        }
        is_closed = true;
    });
    const front_fixture front({engine.port});
    const auto begin = test_clock::now();
    auto open = front.begin_stream("800");
    // The caller reads more slowly than the engine sends, so bytes are always there.
    constexpr int events_per_read = 1'000;
    while (!is_closed && test_clock::now() - begin < prompt_end) {
        for (int i = 0; i < events_per_read; ++i) {
            open.read_more();
        }
        pause(5ms);
    }
    CHECK(is_closed);
}

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
