// Tests the exchange intervals in small and large fleets.
#include "savoryrelay/coordination/serving/exchange_intervals.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

TEST_CASE("a small fleet uses the base intervals") {
    for (const std::size_t hosts : {1U, 9U, 20U}) {
        const auto pace = exchange_intervals_for(hosts, 2s);
        CHECK(pace.operators_feed_wait == 2s);
        CHECK(pace.runners_feed_pause == 450ms);
        CHECK(pace.hosts_read_interval == 5s);
        CHECK(pace.rounds_per_remote_digest == 1);
    }
}

TEST_CASE("a large fleet reads the store less often, within the leave limit") {
    const auto pace = exchange_intervals_for(58, 3s);
    CHECK(pace.runners_feed_pause > 1s);
    CHECK(pace.runners_feed_pause <= 1'500ms);
    CHECK(pace.rounds_per_remote_digest == 3);
    CHECK(exchange_intervals_for(320, 2s).runners_feed_pause == 1s);
}

TEST_CASE("intervals grow with the fleet and stay within their limits") {
    CHECK(rc::check("pace", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(0, 1'000);
        const auto limit = savoryrelay::state::milliseconds(*rc::gen::inRange(500, 10'000));
        const auto pace = exchange_intervals_for(hosts, limit);
        const auto larger = exchange_intervals_for(hosts + 1, limit);
        RC_ASSERT(larger.runners_feed_pause >= pace.runners_feed_pause);
        RC_ASSERT(larger.operators_feed_wait >= pace.operators_feed_wait);
        RC_ASSERT(pace.runners_feed_pause <=
                  std::max(savoryrelay::state::milliseconds(450), limit / 2));
        RC_ASSERT(pace.rounds_per_remote_digest >= 1U && pace.rounds_per_remote_digest <= 3U);
    }));
}
