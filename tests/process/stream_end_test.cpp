// Tests streams whose endpoint ends their chunks before their last event, in several ways, and
// ends of streams and plain answers that are sound although they look unusual.
#include "edge_fixture.h"
#include "support/scripted_engine.h"

#include <chrono>
#include <map>
#include <string>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr int event_count = 5;
constexpr auto poll_interval = 10ms;
// Time between the events of an endpoint that writes on at their pace after its last chunk.
constexpr auto event_pace = 40ms;

std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string event(int number) {
    const auto text = std::to_string(number);
    return "id: " + text + "\ndata: t" + text + "\n\n";
}

std::string events(int first, int end) {
    std::string all;
    for (int number = first; number < end; ++number) {
        all += chunk(event(number));
    }
    return all;
}

const std::string last_chunk = "0\r\n\r\n";

// What an endpoint sends after its events 0 and 1, by the end of the path.
const std::map<std::string, std::string> early_ends{
    {"field-lines", "0\r\nid: 2\r\ndata: t2\r\n\r\n"},
    {"field-lines-then-chunks", "0\r\nid: 2\r\ndata: t2\r\n\r\n" + events(3, 5) + last_chunk},
    {"event-lines", "0\r\n" + event(2) + event(3) + event(4) + "\r\n" + last_chunk},
    {"chunk-in-trailer", "0\r\n" + events(2, 5) + last_chunk},
    {"empty-piece", last_chunk + events(2, 5) + last_chunk},
    {"empty-piece-with-extension", "000;last=no\r\n\r\n" + events(2, 5) + last_chunk},
    {"size-without-digits", "\r\n" + events(2, 5) + last_chunk},
    {"negative-size", "-0\r\n\r\n" + events(2, 5) + last_chunk},
};

// What ends a stream with all events, by the end of the path.
const std::map<std::string, std::string> sound_ends{
    {"plain", last_chunk},
    {"zeros", "000\r\n\r\n"},
    {"extension", "0;a=b\r\n\r\n"},
    {"announced-trailer", "0\r\nX-Sum: 1\r\n\r\n"},
};

std::string head_of_answer(const scripted_request& request, const std::string& type) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
           "\r\nServer-Seal: s1\r\nContent-Type: " + type +
           "\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string last_part_of_path(const scripted_request& request) {
    const auto path = request.text.substr(0, request.text.find(" HTTP/1.1"));
    return path.substr(path.rfind('/') + 1);
}

// Answers each call by its path.
void answer(const scripted_connection& connection, const scripted_request& request) {
    const auto name = last_part_of_path(request);
    const auto head = head_of_answer(request, "text/event-stream");
    const auto resumed_after = request.field("Last-Event-Id");
    if (!resumed_after.empty()) {
        connection.send(head + events(std::stoi(resumed_after) + 1, event_count) + last_chunk);
    } else if (const auto early = early_ends.find(name); early != early_ends.end()) {
        connection.send(head + events(0, 2) + early->second);
    } else if (const auto sound = sound_ends.find(name); sound != sound_ends.end()) {
        connection.send(head + events(0, event_count) + sound->second);
    } else if (name == "second-answer") {
        const auto whole = head + events(0, event_count) + last_chunk;
        connection.send(whole + whole);
    } else if (name == "paced") {
        connection.send(head + events(0, 2) + last_chunk);
        for (int number = 2; number < event_count; ++number) {
            if (connection.wait_until_closed(event_pace)) {
                return;
            }
            connection.send(chunk(event(number)));
        }
        connection.send(last_chunk);
    } else if (name == "body-trailer") {
        connection.send(head_of_answer(request, "text/plain") + chunk("a part") +
                        "0\r\nthe: rest\r\n\r\n");
    } else if (name == "body-extra") {
        connection.send(head_of_answer(request, "text/plain") + chunk("whole") + last_chunk +
                        chunk("and more"));
    } else {
        connection.send(head_of_answer(request, "text/plain") + chunk("whole") +
                        "0\r\nX-Sum: 1\r\n\r\n");
    }
}

struct stream_end_fixture : edge_fixture {
    stream_end_fixture() {
        write_row("op", "config", R"({"version":2,"routes":[
 {"name":"tell","host":"a.example","path_prefix":"/tell/","kind":"streaming","timeout_ms":5000,
  "latency_target_ms":500,"gap_target_ms":300,"max_attempts":2,"stream_resume":true,
  "service":"orders"},
 {"name":"feed","host":"a.example","path_prefix":"/feed/","kind":"streaming","timeout_ms":5000,
  "latency_target_ms":500,"gap_target_ms":300,"max_attempts":1,"service":"orders"},
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"non_idempotent",
  "timeout_ms":3000,"latency_target_ms":200,"max_attempts":1,"service":"orders"},
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent",
  "timeout_ms":3000,"latency_target_ms":200,"max_attempts":2,"service":"orders"}],
 "services":[{"name":"orders"}],"limits":{},
 "tenants":[{"name":"workshop","api_keys":["k1"]}]})");
        write_entry("p1", "orders", std::to_string(first.port), "");
        write_entry("p2", "orders", std::to_string(second.port), "");
        hosts[0]->wait_until_ready();
        while (first.received() == 0 || second.received() == 0) { // not both are known yet
            call("/look/whole");
        }
    }

    /// Repeats the call while the host refuses it, since it avoids endpoints that have failed.
    test_answer call(const std::string& path) {
        while (true) {
            auto answer = fetch(hosts[0]->callers, http::verb::post, path, "prompt",
                                headers("s" + std::to_string(m_calls++)));
            if (answer.status != 503) {
                return answer;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }

    scripted_engine first{answer};
    scripted_engine second{answer};

private:
    int m_calls = 0;
};

std::string all_events(int end) {
    std::string all;
    for (int number = 0; number < end; ++number) {
        all += event(number);
    }
    return all;
}

} // namespace

TEST_CASE("edge: a stream whose chunks end before its events is not ended as complete") {
    stream_end_fixture fixture;
    auto names = early_ends;
    names["paced"];
    for (const auto& [name, bytes] : names) {
        CAPTURE(name);
        const auto resumed = fixture.call("/tell/" + name);
        CHECK(resumed.status == 200);
        CHECK(resumed.is_complete);
        CHECK(resumed.body == all_events(event_count));
        const auto cut = fixture.call("/feed/" + name);
        CHECK(cut.status == 200);
        CHECK_FALSE(cut.is_complete);
        CHECK(cut.body == all_events(2));
    }
}

TEST_CASE("edge: a stream that ends soundly is ended as complete and runs once") {
    stream_end_fixture fixture;
    for (const auto& [name, bytes] : sound_ends) {
        for (const std::string route : {"/tell/", "/feed/"}) {
            CAPTURE(name, route);
            const auto runs_before = fixture.first.received() + fixture.second.received();
            const auto answer = fixture.call(route + name);
            CHECK(answer.status == 200);
            CHECK(answer.is_complete);
            CHECK(answer.body == all_events(event_count));
            CHECK(fixture.first.received() + fixture.second.received() == runs_before + 1);
        }
    }
}

TEST_CASE("edge: a stream with a second answer behind it has each event once") {
    stream_end_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        const auto answer = fixture.call("/tell/second-answer");
        CHECK(answer.status == 200);
        CHECK(answer.is_complete);
        CHECK(answer.body == all_events(event_count));
    }
}

TEST_CASE("edge: a plain answer with a part of its body as trailer fields reaches no caller") {
    stream_end_fixture fixture;
    for (const std::string route : {"/book/", "/look/"}) {
        CAPTURE(route);
        CHECK(fixture.call(route + "body-trailer").status == 502);
        const auto sound = fixture.call(route + "whole");
        CHECK(sound.status == 200);
        CHECK(sound.body == "whole");
        // Bytes behind a whole answer belong to no request.
        for (int i = 0; i < 3; ++i) {
            const auto followed = fixture.call(route + "body-extra");
            CHECK(followed.status == 200);
            CHECK(followed.body == "whole");
        }
    }
}
