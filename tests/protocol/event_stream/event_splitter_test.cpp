// Tests the token numbers of event streams at the end of their range.
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
