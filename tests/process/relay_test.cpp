// Tests the path from caller to endpoint with separate processes: streams,
// bookings, faults of the endpoints, and the graceful stop.
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::tests;

namespace {

/// Returns the body of a stream of `tokens` tokens as the engine sends it.
std::string expected_stream(int tokens) {
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        const auto number = std::to_string(i);
        text += "id: " + number + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" +
                number + " \"}}]}\n\n";
    }
    return text + "data: [DONE]\n\n";
}

} // namespace

// Guards against a stream that loses, duplicates or reorders tokens.
TEST_CASE("a stream arrives complete", "[process]") {
    const relay_fixture relay;
    const auto answer = relay.stream(200);
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(answer.body == expected_stream(200));
}

// Guards against a gap or a repeated token after a connection breaks midway.
TEST_CASE("a broken stream resumes at the next token", "[process]") {
    const relay_fixture relay;
    relay.engine_1.control(R"({"break_after_tokens": 7})");
    relay.engine_2.control(R"({"break_after_tokens": 11})");
    const auto answer = relay.stream(40);
    CHECK(answer.is_complete);
    CHECK(answer.body == expected_stream(40));
}

// Guards against an endless wait on a connection that stays open but sends nothing.
TEST_CASE("a call is retried on another engine after a missed progress deadline", "[process]") {
    const relay_fixture relay;
    relay.engine_1.control(R"({"freeze": true})");
    for (int i = 0; i < 4; ++i) {
        const auto answer = relay.stream(5);
        CHECK(answer.body == expected_stream(5));
    }
}

// Guards against a sound call that is ended because every endpoint is slow.
TEST_CASE("a call waits for slow endpoints until its deadline", "[process]") {
    const relay_fixture relay;
    relay.engine_1.control(R"({"token_ms": 1300})");
    relay.engine_2.control(R"({"token_ms": 1300})");
    const auto answer = relay.stream(3);
    CHECK(answer.status == 200);
    CHECK(answer.body == expected_stream(3));

    relay.service.control(R"({"delay_ms": 1300})");
    const auto booked = relay.book("slow");
    CHECK(booked.status == 200);
    CHECK(booked.outcome == "ran");
    CHECK(fetch(relay.service.port, http::verb::get, "/runs").body == R"({"workshop:slow":1})");
}

// Guards against sending a caller the answer to another request.
TEST_CASE("an answer to another request is not relayed", "[process]") {
    const relay_fixture relay;
    relay.engine_1.control(R"({"cross_answers": true})");
    relay.engine_2.control(R"({"cross_answers": true})");
    const auto answer = relay.stream(5);
    CHECK(answer.status == 502);
    CHECK(answer.outcome == "unknown");
    CHECK(answer.body.find("\"t0") == std::string::npos);
}

// Guards against a request with a method outside HTTP's list that ends the daemon.
TEST_CASE("a request with an unknown method is answered and the daemon still serves", "[process]") {
    const relay_fixture relay;
    CHECK(test_exchange(relay.port, "BREW", "/v1/chat/completions", "", {}).finish().status == 404);
    const auto answer = test_exchange(relay.port, "BREW", "/v1/services/orders/pot", "x",
                                      {{"Idempotency-Key", "brew-1"}})
                            .finish();
    CHECK(answer.status == 200);
    CHECK(relay.stream(5).body == expected_stream(5));
}

// Guards against "not-run" for a request that an engine may have seen.
TEST_CASE("a refusal reports not-run only if nothing was sent", "[process]") {
    relay_fixture relay;
    relay.engine_1.control(R"({"down": true})");
    relay.engine_2.control(R"({"down": true})");
    const auto unknown = relay.stream(5);
    CHECK(unknown.outcome == "unknown");

    relay.engine_1.process.send(SIGKILL);
    relay.engine_2.process.send(SIGKILL);
    relay.engine_1.process.wait();
    relay.engine_2.process.wait();
    const auto refused = relay.stream(5);
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not-run");
}

// Guards against a second run of a booking whose answer was lost.
TEST_CASE("a booking runs at most once", "[process]") {
    const relay_fixture relay;
    const auto first = relay.book("k1");
    CHECK(first.status == 200);
    CHECK(relay.book("k1").body == first.body);
    CHECK(relay.book("k1", R"({"other":1})").status == 422);

    relay.service.control(R"({"lose_replies": 1})");
    const auto lost = relay.book("k2");
    CHECK(lost.outcome == "unknown");
    const auto repeated = relay.book("k2");
    CHECK(repeated.outcome == "ran");
    CHECK(repeated.body == R"({"booking":"workshop:k2","run":1})");
    CHECK(fetch(relay.service.port, http::verb::get, "/runs").body ==
          R"({"workshop:k1":1,"workshop:k2":1})");
}

// Guards against a graceful stop that breaks off a stream.
TEST_CASE("a graceful stop finishes the streams in flight", "[process]") {
    relay_fixture relay;
    relay.engine_1.control(R"({"token_ms": 5})");
    relay.engine_2.control(R"({"token_ms": 5})");
    test_exchange open(relay.port, http::verb::post, "/v1/chat/completions",
                       relay_fixture::stream_body(100), {});
    REQUIRE(open.read_until("id: 3\n"));
    relay.daemon.send(SIGTERM);
    const auto answer = open.finish();
    CHECK(answer.is_complete);
    CHECK(answer.body == expected_stream(100));
    CHECK(relay.daemon.wait() == 0);
}

// Guards against invalid input that is accepted or that affects other callers.
TEST_CASE("invalid input is refused and does not affect other callers", "[process]") {
    const relay_fixture relay;
    const auto post = [&](const std::string& body, const test_headers& headers = {}) {
        return fetch(relay.port, http::verb::post, "/v1/completions", body, headers);
    };
    CHECK(post("{").status == 400);
    CHECK(post(R"({"model": 7})").status == 400);
    CHECK(post(std::string(20'000, '[')).status == 400);
    CHECK(post(std::string(2'000'000, ' ')).status == 413);
    CHECK(post("{}", {{"X-Long", std::string(40'000, 'x')}}).status == 413);
    CHECK(post(relay_fixture::stream_body(1), {{"Authorization", "Bearer wrong"}}).status == 401);
    CHECK(fetch(relay.port, http::verb::get, "/nowhere").status == 404);
    const auto answer = relay.stream(3);
    CAPTURE(answer.status, answer.error);
    CHECK(answer.body == expected_stream(3));
}
