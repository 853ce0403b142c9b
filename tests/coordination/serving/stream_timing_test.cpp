// Tests the longest pause of a stream.
#include "savoryrelay/coordination/serving/stream_timing.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace savoryrelay;
using namespace std::chrono_literals;

TEST_CASE("timing: the longest pause of a stream and its begin are known") {
    coordination::stream_timing timing;
    const state::time_point start{1s};
    CHECK_FALSE(timing.note_event(start));
    CHECK_FALSE(timing.longest_gap());
    CHECK(timing.note_event(start + 50ms) == 50ms);
    CHECK(timing.note_event(start + 350ms) == 300ms);
    CHECK(timing.note_event(start + 400ms) == 50ms);
    CHECK(timing.longest_gap() == 300ms);
    CHECK(timing.longest_gap_begin() == start + 50ms);
}
