// Tests that the repeats of all hosts together stay within the shared limit.
#include "savoryrelay/coordination/serving/repeat_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

TEST_CASE("a burst of repeats after a quiet time is allowed up to the limit of the window") {
    // Guards against unresumed streams after the loss of a domain, as seen on
    // vaneworks-pos inc-ffca: a host could not accumulate more repeats than its share of
    // the burst.
    repeat_window repeats({0.2, 134, 10s});
    repeats.set_hosts(8);
    state::time_point now{1h};
    for (int i = 0; i < 200; ++i) {
        now += 50ms;
        repeats.note_call("m", now);
    }
    int taken = 0;
    while (repeats.take("m", now)) {
        ++taken;
    }
    CHECK(taken >= 30); // 0.2 x 200 calls would be 40
    CHECK_FALSE(repeats.take("m", now + 9s));
    CHECK(repeats.take("m", now + 10s));
}

TEST_CASE("the repeats of all hosts stay within the shared limit in each window") {
    CHECK(rc::check("shared limit", [] {
        const repeat_limit limit{0.2, 40, 10s};
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 6);
        std::vector<std::unique_ptr<repeat_window>> windows;
        for (std::size_t i = 0; i < hosts; ++i) {
            windows.push_back(std::make_unique<repeat_window>(limit));
            windows.back()->set_hosts(hosts);
        }
        std::vector<state::time_point> calls;
        std::vector<state::time_point> repeats;
        state::time_point now{1h};
        const auto steps = *rc::gen::inRange(1, 400);
        for (int i = 0; i < steps; ++i) {
            now += state::milliseconds(*rc::gen::inRange(0, 120));
            auto& window = *windows[*rc::gen::inRange<std::size_t>(0, hosts)];
            if (*rc::gen::arbitrary<bool>()) {
                window.note_call("m", now);
                calls.push_back(now);
            } else if (window.take("m", now)) {
                repeats.push_back(now);
            }
            const auto in_window = [&](const std::vector<state::time_point>& times) {
                return static_cast<double>(std::count_if(
                    times.begin(), times.end(), [&](auto at) { return now - at < limit.window; }));
            };
            RC_ASSERT(in_window(repeats) <= limit.ratio * in_window(calls) + limit.burst);
        }
    }));
}
