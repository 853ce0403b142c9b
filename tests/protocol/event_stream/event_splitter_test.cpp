// Tests the token numbers of event streams at the end of their range, and bytes of a stream that
// hold no event.
#include "savoryrelay/protocol/event_stream/event_splitter.h"

#include <catch2/catch.hpp>

#include <limits>
#include <string>

using namespace savoryrelay;

namespace {

const std::string largest = std::to_string(std::numeric_limits<std::uint64_t>::max());

std::string relay(protocol::event_splitter& events, const std::string& text) {
    REQUIRE(state::collect([&] { return events.append(text); }));
    return std::string(events.take());
}

} // namespace

TEST_CASE("an event with the largest number does not make a stream repeat its events") {
    protocol::event_splitter events;
    const std::string first = "id: 0\ndata: a\n\n";
    CHECK(relay(events, first) == first);
    relay(events, "id: " + largest + "\ndata: b\n\n");
    CHECK(events.next_token() >= 1);
    events.resume();
    CHECK(relay(events, first).empty());
}

TEST_CASE("a caller that has the event with the largest number gets no earlier one") {
    protocol::event_splitter events;
    events.continue_after(std::numeric_limits<std::uint64_t>::max());
    CHECK(relay(events, "id: 0\ndata: a\n\n").empty());
}

TEST_CASE("what follows the last event is held back until the next one") {
    // Guards against bytes that are no answer and reach a caller.
    protocol::event_splitter events;
    const std::string event = "id: 0\ndata: a\n\n";
    const std::string next = "id: 1\ndata: b\n\n";
    CHECK(relay(events, event + "text\n\n") == event);
    CHECK(events.new_events() == 1);
    CHECK(relay(events, ": comment\n\n").empty());
    CHECK(events.comments() == 1);
    CHECK(relay(events, next + ":\n\n") == "text\n\n: comment\n\n" + next);
    CHECK(events.take_rest() == ":\n\n");
    CHECK(relay(events, "id: 2\ndata: c\n\n") == "id: 2\ndata: c\n\n");
    CHECK(events.take_rest().empty());
}

TEST_CASE("a stream whose bytes hold no event fails at the limit, whatever their lines") {
    const auto bytes_until_failure = [](const std::string& block) {
        protocol::event_splitter events;
        std::size_t size = 0;
        while (state::collect([&] { return events.append(block); })) {
            CHECK(events.take().empty());
            size += block.size();
            REQUIRE(size <= protocol::event_splitter::max_event_bytes);
        }
        return size + block.size();
    };
    for (const std::string block : {"text\n\n", ": comment\n\n", "\n\n", "no end of a line"}) {
        CAPTURE(block);
        CHECK(bytes_until_failure(block) > protocol::event_splitter::max_event_bytes);
    }
    // Events that a resumed stream repeats are no limit to it.
    protocol::event_splitter events;
    events.continue_after(10);
    for (std::size_t size = 0; size <= 2 * protocol::event_splitter::max_event_bytes; size += 16) {
        REQUIRE(state::collect([&] { return events.append("id: 1\ndata: a\n\n"); }));
    }
}
