// Tests the callers' front end with answers that belong to other requests and with
// handlers that fail.
#include "support/front_fixture.h"
#include "support/scripted_engine.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

using namespace savoryrelay::tests;

namespace {

constexpr const char* deadline_ms = "5000";

std::string answer_text(const std::string& status, const std::string& id_field,
                        const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n" + id_field +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string id_field(const std::string& id) {
    return "Savoryrelay-Request-Id: " + id + "\r\n";
}

// Answers with the request's id in the body. Sends the previous answer on the same
// connection once more in front of the next one.
engine_script repeats_late(bool names_request) {
    return [names_request, mutex = std::make_shared<std::mutex>(),
            last = std::make_shared<std::string>()](const auto& connection, const auto& request) {
        const std::scoped_lock lock(*mutex);
        const auto id = request.field("Savoryrelay-Request-Id");
        const auto own =
            answer_text("200 OK", names_request ? id_field(id) : "", "answer to " + id);
        connection.send((request.number_on_connection > 1 ? *last : "") + own);
        *last = own;
    };
}

// Rejects each request whose number is in `rejected` and runs the others. In front of the next
// answer on the connection it sends the rejection once more.
engine_script repeats_rejections(std::set<int> rejected) {
    return [rejected = std::move(rejected), mutex = std::make_shared<std::mutex>(),
            copies = std::make_shared<std::map<const void*, std::string>>()](const auto& connection,
                                                                             const auto& request) {
        const std::scoped_lock lock(*mutex);
        const auto id = request.field("Savoryrelay-Request-Id");
        const bool is_rejected = rejected.contains(request.number);
        const auto own = is_rejected
                             ? answer_text("503 Service Unavailable",
                                           id_field(id) + "Savoryrelay-Outcome: not-run\r\n", "")
                             : answer_text("200 OK", id_field(id), "answer to " + id);
        auto& copy = (*copies)[&connection];
        connection.send((request.number_on_connection > 1 ? copy : "") + own);
        copy = is_rejected ? own : "";
    };
}

} // namespace

TEST_CASE("calls: a late copy of an answer without an id reaches no other caller") {
    const scripted_engine engine(repeats_late(false));
    const front_fixture front({engine.port});
    CHECK(front.look(deadline_ms).body == "answer to t-1");
    CHECK(front.look(deadline_ms).body == "answer to t-2");
}

TEST_CASE("calls: a late copy of an answer with an id reaches no other caller") {
    const scripted_engine engine(repeats_late(true));
    const front_fixture front({engine.port});
    CHECK(front.look(deadline_ms).body == "answer to t-1");
    CHECK(front.look(deadline_ms).body == "answer to t-2");
}

TEST_CASE("calls: the rejection of another request is not taken for the call's own") {
    const scripted_engine engine([](const auto& connection, const auto&) {
        connection.send(answer_text("503 Service Unavailable",
                                    id_field("other") + "Savoryrelay-Outcome: not-run\r\n", ""));
    });
    const front_fixture front({engine.port});
    CHECK(front.look(deadline_ms).outcome == "unknown");
    CHECK(front.book(deadline_ms).outcome == "unknown");
}

TEST_CASE("calls: a late copy of a rejection doesn't reject the next attempt of its call") {
    // The first call leaves an idle connection on which the second one is rejected.
    const scripted_engine engine(repeats_rejections({2, 4}));
    const front_fixture front({engine.port, engine.port});
    CHECK(front.look(deadline_ms).status == 200);
    CHECK(front.look(deadline_ms).body == "answer to t-2");
    CHECK(engine.received() == 3);
    const auto booked = front.book(deadline_ms);
    CHECK(booked.body == "answer to t-3");
    CHECK(booked.outcome == "ran");
    CHECK(engine.received() == 5);
}

TEST_CASE("calls: a hook that throws leaves no caller without an answer") {
    const scripted_engine engine(repeats_late(true));
    front_fixture front({engine.port});
    front.hooks.bookings.begin = [](const auto&, auto, auto) {
        throw std::runtime_error("the store failed");
    };
    CHECK(front.book("1000").status == 500);
}

TEST_CASE("calls: a handler that fails frees the capacity of its call") {
    const scripted_engine engine(repeats_late(true));
    front_fixture front({engine.port});
    constexpr double capacity_of_one_call = 1;
    front.queue.set_capacity(savoryrelay::state::deployment_id("orders"), capacity_of_one_call,
                             front_fixture::now());
    const auto store = front.hooks.bookings;
    front.hooks.bookings.begin = [](const auto&, auto, auto) {
        throw std::runtime_error("the store failed");
    };
    CHECK(front.book("1000").status == 500);
    front.hooks.bookings = store;
    CHECK(front.book("1000").status == 200);
    CHECK(front.metrics.gauge_of("calls_open").value() == 0);
}

TEST_CASE("calls: a stream whose rest is refused is not ended as complete") {
    const scripted_engine engine([](const auto& connection, const auto& request) {
        const auto id = id_field(request.field("Savoryrelay-Request-Id"));
        if (request.number > 1) {
            connection.send(answer_text("500 Internal Server Error", id, "cannot resume"));
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + id +
                        "Savoryrelay-Can-Resume: true\r\n\r\nid: 0\ndata: t0\n\n");
        connection.close();
    });
    const front_fixture front({engine.port});
    const auto answer = front.stream(deadline_ms);
    CHECK(answer.body.starts_with("id: 0\ndata: t0\n\n"));
    CHECK_FALSE(answer.is_complete);
}

TEST_CASE("calls: a part of an event is not joined to the answer of the next attempt") {
    const std::string rest = "id: 0\ndata: t0\n\ndata: [DONE]\n\n";
    const scripted_engine engine([&](const auto& connection, const auto& request) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                        id_field(request.field("Savoryrelay-Request-Id")) + "\r\n" +
                        (request.number == 1 ? "id: 0\ndata: lost" : rest));
        connection.close();
    });
    const front_fixture front({engine.port});
    const auto answer = front.stream(deadline_ms);
    CHECK(engine.received() == 2);
    CHECK(answer.is_complete);
    CHECK(answer.body == rest);
}

TEST_CASE("calls: an answer with a part of its body as trailer fields is not complete") {
    const scripted_engine engine([](const auto& connection, const auto& request) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
                        id_field(request.field("Savoryrelay-Request-Id")) +
                        "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\nthe: rest\r\n\r\n");
    });
    const front_fixture front({engine.port});
    CHECK(front.book(deadline_ms).outcome == "unknown");
}

TEST_CASE("calls: a stream whose chunks end before its final event is not ended as complete") {
    for (const std::string end : {"0\r\n\r\n", "0\r\nid: 1\r\ndata: t1\r\n\r\n"}) {
        CAPTURE(end);
        const scripted_engine engine([&](const auto& connection, const auto& request) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                            id_field(request.field("Savoryrelay-Request-Id")) +
                            "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 0\ndata: t0\n\n\r\n" +
                            end);
        });
        const front_fixture front({engine.port});
        const auto answer = front.stream(deadline_ms);
        CHECK(answer.body.starts_with("id: 0\ndata: t0\n\n"));
        CHECK_FALSE(answer.is_complete);
    }
}
