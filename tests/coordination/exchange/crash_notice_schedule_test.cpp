// Tests how long crash notices are sent, with which ages, and how many.
#include "savoryrelay/coordination/exchange/crash_notice_schedule.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;
using state::crash_notice;
using state::crash_notice_kind;

TEST_CASE("crash notices: each is sent for its time, with an age that grows") {
    crash_notice_schedule schedule;
    const state::time_point start{1h};
    CHECK(schedule.due(start).empty());
    schedule.add({crash_notice_kind::crashed, 7, 9, 20ms}, start);
    for (auto elapsed = 0ms; elapsed < crash_notice_schedule::repeated_for; elapsed += 100ms) {
        const crash_notice expected{crash_notice_kind::crashed, 7, 9, 20ms + elapsed};
        CHECK(schedule.due(start + elapsed) == std::vector{expected});
    }
    CHECK(schedule.due(start + crash_notice_schedule::repeated_for).empty());
    CHECK(schedule.due(start).empty());
}

TEST_CASE("crash notices: an equal notice neither prolongs the first nor changes its age") {
    crash_notice_schedule schedule;
    const state::time_point start{1h};
    schedule.add({crash_notice_kind::crashed, 7, 9, 20ms}, start);
    schedule.add({crash_notice_kind::crashed, 7, 9, 500ms}, start + 100ms);
    const crash_notice expected{crash_notice_kind::crashed, 7, 9, 220ms};
    CHECK(schedule.due(start + 200ms) == std::vector{expected});
    const auto end = start + crash_notice_schedule::repeated_for;
    CHECK(schedule.due(end).empty());
    // It is sent again once its time is over.
    schedule.add({crash_notice_kind::crashed, 7, 9, 0ms}, end);
    CHECK(schedule.due(end).size() == 1);
}

TEST_CASE("crash notices: those of another kind, fingerprint or crash are sent too") {
    crash_notice_schedule schedule;
    const state::time_point now{1h};
    schedule.add({crash_notice_kind::crashed, 7, 9, 0ms}, now);
    schedule.add({crash_notice_kind::crashed, 7, 10, 0ms}, now);
    schedule.add({crash_notice_kind::crashed, 8, 9, 0ms}, now);
    schedule.add({crash_notice_kind::answered, 7, 9, 0ms}, now);
    CHECK(schedule.due(now).size() == 4);
}

TEST_CASE("crash notices: the newest are dropped beyond the limit, until others expire") {
    crash_notice_schedule schedule;
    const state::time_point start{1h};
    for (std::uint64_t i = 0; i <= crash_notice_schedule::max_notices; ++i) {
        schedule.add({crash_notice_kind::answered, i, 0, 0ms}, start);
    }
    const auto due = schedule.due(start);
    REQUIRE(due.size() == crash_notice_schedule::max_notices);
    CHECK(due.back().fingerprint == crash_notice_schedule::max_notices - 1);
    const auto end = start + crash_notice_schedule::repeated_for;
    schedule.add({crash_notice_kind::answered, 1'000, 0, 0ms}, end);
    CHECK(schedule.due(end).size() == 1);
}

TEST_CASE("crash notices: crashes of whole calls give way to other notices beyond the limit") {
    crash_notice_schedule schedule;
    const state::time_point now{1h};
    constexpr auto limit = crash_notice_schedule::max_notices;
    for (std::uint64_t i = 0; i < limit; ++i) {
        schedule.add({crash_notice_kind::crashed, i, 9, 0ms}, now);
    }
    const crash_notice part{crash_notice_kind::crashed, 1'000, 9, 0ms, 1};
    const crash_notice answer{crash_notice_kind::answered, 1'001, 0, 0ms};
    schedule.add(part, now);
    schedule.add(answer, now);
    schedule.add({crash_notice_kind::crashed, 1'002, 9, 0ms}, now);
    const auto due = schedule.due(now);
    REQUIRE(due.size() == limit);
    CHECK(due[limit - 3].fingerprint == limit - 3);
    CHECK(due[limit - 2] == part);
    CHECK(due[limit - 1] == answer);
}

TEST_CASE("crash notices: threads may add and read them at the same time") {
    crash_notice_schedule schedule;
    const state::time_point now{1h};
    {
        std::vector<std::jthread> threads;
        for (std::uint64_t thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&schedule, thread, now] {
                for (std::uint64_t i = 0; i < 50; ++i) {
                    schedule.add({crash_notice_kind::crashed, i, thread, 0ms}, now);
                    static_cast<void>(schedule.due(now));
                }
            });
        }
    }
    CHECK(schedule.due(now).size() == 200);
}
