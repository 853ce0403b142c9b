// Tests the exchange intervals in small and large fleets.
#include "savoryrelay/coordination/serving/exchange_intervals.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

TEST_CASE("a small fleet uses the base intervals") {
    for (const std::size_t hosts : {1U, 9U, 20U}) {
        const auto intervals = exchange_intervals_for(hosts, 2s);
        CHECK(intervals.operators_feed_wait == 2s);
        CHECK(intervals.runners_feed_pause == 450ms);
        CHECK(intervals.hosts_read_interval == 5s);
        CHECK(intervals.rounds_per_remote_digest == 1);
    }
}

TEST_CASE("a large fleet reads the store less often, within the leave limit") {
    const auto intervals = exchange_intervals_for(58, 3s);
    CHECK(intervals.runners_feed_pause > 1s);
    CHECK(intervals.runners_feed_pause <= 1'500ms);
    CHECK(intervals.rounds_per_remote_digest == 3);
    CHECK(exchange_intervals_for(320, 2s).runners_feed_pause == 1s);
}

TEST_CASE("intervals grow with the fleet and stay within their limits") {
    CHECK(rc::check("intervals", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(0, 1'000);
        const auto limit = savoryrelay::state::milliseconds(*rc::gen::inRange(500, 10'000));
        const auto intervals = exchange_intervals_for(hosts, limit);
        const auto larger = exchange_intervals_for(hosts + 1, limit);
        RC_ASSERT(larger.runners_feed_pause >= intervals.runners_feed_pause);
        RC_ASSERT(larger.operators_feed_wait >= intervals.operators_feed_wait);
        RC_ASSERT(intervals.runners_feed_pause <=
                  std::max(savoryrelay::state::milliseconds(450), limit / 2));
        RC_ASSERT(intervals.rounds_per_remote_digest >= 1U &&
                  intervals.rounds_per_remote_digest <= 3U);
    }));
}
