// Tests which calls may be retried, and when a call is reported as not run.
#include "savoryrelay/coordination/serving/call_progress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using coordination::attempt_outcome;
using coordination::call_progress;
using coordination::endpoint_end;
using coordination::silence_step;
using state::call_kind;
using state::execution_outcome;
using state::milliseconds;
using state::time_point;

namespace {

state::route_rule route_of(call_kind kind, bool is_resumable, std::uint32_t attempts) {
    state::route_rule route;
    route.kind = kind;
    route.is_resumable = is_resumable;
    route.max_attempts = attempts;
    return route;
}

} // namespace

TEST_CASE("a non-idempotent call is retried only if it has not run") {
    const auto route = route_of(call_kind::non_idempotent, false, 1);
    call_progress refused(route, [] { return true; });
    refused.begin_attempt();
    refused.note(attempt_outcome::not_run, endpoint_end::none);
    CHECK(refused.may_attempt());
    CHECK(refused.execution() == execution_outcome::not_run);

    call_progress lost(route, [] { return true; });
    lost.begin_attempt();
    lost.note(attempt_outcome::lost, endpoint_end::during_answer);
    CHECK_FALSE(lost.may_attempt());
    CHECK(lost.execution() == execution_outcome::unknown);
}

TEST_CASE(
    "the limit of a resumable stream does not count endpoints that ended while they answered") {
    const auto route = route_of(call_kind::streaming, true, 2);
    call_progress progress(route, [] { return true; });
    progress.begin_attempt();
    progress.note(attempt_outcome::lost, endpoint_end::none);
    CHECK(progress.may_attempt());
    progress.begin_attempt();
    progress.note(attempt_outcome::lost, endpoint_end::none);
    CHECK_FALSE(progress.may_attempt());

    call_progress ended(route, [] { return true; });
    ended.begin_attempt();
    ended.note(attempt_outcome::lost, endpoint_end::during_answer);
    ended.begin_attempt();
    ended.note(attempt_outcome::lost, endpoint_end::none);
    CHECK(ended.may_attempt());
    ended.begin_attempt();
    ended.note(attempt_outcome::lost, endpoint_end::none);
    CHECK_FALSE(ended.may_attempt());
}

TEST_CASE("an endpoint found to have ended while it answered is taken off the limit") {
    const auto route = route_of(call_kind::streaming, true, 2);
    call_progress progress(route, [] { return true; });
    for (int i = 0; i < 2; ++i) {
        progress.begin_attempt();
        progress.note(attempt_outcome::lost, endpoint_end::none);
    }
    CHECK_FALSE(progress.may_attempt());
    progress.note_ended_during_answer();
    CHECK(progress.may_attempt());
}

TEST_CASE("endpoints that end before they answer a call count towards the limit of its route") {
    for (const auto kind : {call_kind::streaming, call_kind::idempotent}) {
        for (std::uint32_t max_attempts = 1; max_attempts <= 3; ++max_attempts) {
            const auto route = route_of(kind, true, max_attempts);
            call_progress progress(route, [] { return true; });
            std::uint32_t crashed = 0;
            while (progress.may_attempt()) {
                REQUIRE(crashed < max_attempts);
                progress.begin_attempt();
                progress.note(attempt_outcome::lost, endpoint_end::before_answer);
                ++crashed;
            }
            CHECK(crashed == max_attempts);
        }
    }
}

TEST_CASE("a repeat takes from the budget, a first attempt does not") {
    const auto route = route_of(call_kind::idempotent, false, 3);
    call_progress progress(route, [] { return false; });
    CHECK(progress.may_attempt());
    progress.begin_attempt();
    progress.note(attempt_outcome::not_run, endpoint_end::none);
    CHECK_FALSE(progress.may_attempt());
}

TEST_CASE("an attempt is reserved only if it may follow, and takes one repeat") {
    int repeats = 1;
    const auto take = [&] { return repeats-- > 0; };
    const auto resumable = route_of(call_kind::streaming, true, 2);
    call_progress progress(resumable, take);
    REQUIRE(progress.may_attempt());
    progress.begin_attempt();
    CHECK(progress.reserve_attempt());
    CHECK(progress.reserve_attempt());
    CHECK(repeats == 0);
    progress.note(attempt_outcome::lost, endpoint_end::none);
    CHECK(progress.may_attempt());
    progress.begin_attempt();
    CHECK_FALSE(progress.reserve_attempt()); // the route allows two endpoints

    call_progress without_budget(resumable, take);
    without_budget.begin_attempt();
    CHECK_FALSE(without_budget.reserve_attempt());
    const auto not_resumable = route_of(call_kind::streaming, false, 2);
    call_progress once(not_resumable, [] { return true; });
    once.begin_attempt();
    CHECK_FALSE(once.reserve_attempt());
}

TEST_CASE("a silent attempt that is kept open counts towards the limit of the route") {
    const auto route = route_of(call_kind::streaming, true, 2);
    int repeats = 0;
    call_progress progress(route, [&] {
        ++repeats;
        return true;
    });
    REQUIRE(progress.may_attempt());
    progress.begin_attempt();
    REQUIRE(progress.reserve_attempt());
    REQUIRE(progress.may_attempt());
    progress.begin_attempt();
    CHECK(repeats == 1);
    CHECK_FALSE(progress.reserve_attempt());
    CHECK_FALSE(progress.may_attempt());

    // The second endpoint refuses, so another one may run the call besides the first.
    progress.note(attempt_outcome::not_run, endpoint_end::none);
    REQUIRE(progress.reserve_attempt());
    REQUIRE(progress.may_attempt());
    progress.begin_attempt();
    CHECK(repeats == 2);
    progress.note(attempt_outcome::lost, endpoint_end::none);
    CHECK_FALSE(progress.reserve_attempt());
    CHECK_FALSE(progress.may_attempt());
    progress.note(attempt_outcome::lost, endpoint_end::none); // the first one
    CHECK_FALSE(progress.may_attempt());
    CHECK(progress.execution() == execution_outcome::unknown);
    CHECK(progress.attempts() == 3);
    CHECK(repeats == 2);
}

TEST_CASE("no attempt is reserved after too many refusals") {
    const auto route = route_of(call_kind::streaming, true, 2);
    call_progress progress(route, [] { return true; });
    progress.begin_attempt(); // silent and kept open
    for (std::uint32_t i = 0; i <= call_progress::max_refusals; ++i) {
        REQUIRE(progress.reserve_attempt());
        REQUIRE(progress.may_attempt());
        progress.begin_attempt();
        progress.note(attempt_outcome::not_run, endpoint_end::none);
    }
    CHECK_FALSE(progress.reserve_attempt());
    CHECK_FALSE(progress.may_attempt());
}

TEST_CASE("refusals do not end a call whose answer has begun") {
    const auto route = route_of(call_kind::streaming, true, 2);
    call_progress progress(route, [] { return true; });
    progress.begin_attempt();
    progress.note_answer_begun();
    progress.note(attempt_outcome::lost, endpoint_end::none);
    for (std::uint32_t i = 0; i <= 2 * call_progress::max_refusals; ++i) {
        REQUIRE(progress.may_attempt());
        progress.begin_attempt();
        progress.note(attempt_outcome::not_run, endpoint_end::none);
    }
    progress.begin_attempt();
    progress.note(attempt_outcome::lost, endpoint_end::none);
    CHECK_FALSE(progress.allows_attempt()); // the route allows two endpoints
}

TEST_CASE("a call whose answer has begun waits longer for an endpoint") {
    auto route = route_of(call_kind::streaming, true, 2);
    route.first_answer_target = milliseconds(500);
    const time_point since{};
    call_progress progress(route, [] { return true; });
    CHECK(progress.queue_deadline(since) == since + milliseconds(150));
    progress.note_answer_begun();
    CHECK(progress.queue_deadline(since) == since + milliseconds(1'500));
}

TEST_CASE("a call gives a silent endpoint up only if the call is over or the endpoint is lost") {
    for (unsigned facts = 0; facts < 16; ++facts) {
        const bool is_over = (facts & 1U) != 0;
        const bool has_kept_answer = (facts & 2U) != 0;
        const bool can_prepare = (facts & 4U) != 0;
        const bool is_lost = (facts & 8U) != 0;
        int prepared = 0;
        const auto step =
            coordination::decide_on_silence({.is_over = [&] { return is_over; },
                                             .has_kept_answer = [&] { return has_kept_answer; },
                                             .prepare_next =
                                                 [&] {
                                                     ++prepared;
                                                     return can_prepare;
                                                 },
                                             .is_lost = [&] { return is_lost; }});
        CAPTURE(is_over, has_kept_answer, can_prepare, is_lost);
        const bool hands_over = !is_over && (has_kept_answer || can_prepare);
        CHECK((step == silence_step::hand_over) == hands_over);
        CHECK((step == silence_step::give_up) == (!hands_over && (is_over || is_lost)));
        // An attempt is reserved only if it is used.
        CHECK(prepared == (is_over || has_kept_answer ? 0 : 1));
    }
}

TEST_CASE("bytes without an event are a trickle only while no silence lies between them") {
    const milliseconds limit(400);
    const time_point start{std::chrono::hours(1)};
    coordination::trickle_detector trickle(milliseconds(200));
    // A byte each 100 ms is found out at the limit, and an event starts the time again.
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(trickle.note_piece(start + i * milliseconds(100), limit));
    }
    CHECK(trickle.note_piece(start + milliseconds(400), limit));
    trickle.note_event();
    CHECK_FALSE(trickle.note_piece(start + milliseconds(450), limit));
    // A silence within an event, of any length, is none of the trickle.
    CHECK_FALSE(trickle.note_piece(start + milliseconds(1'900), limit));
    CHECK_FALSE(trickle.note_piece(start + milliseconds(1'950), limit));
}

TEST_CASE(
    "a call that may run once never runs twice and is reported as not run only if it did not run") {
    CHECK(rc::check("at most one run, correct report", [] {
        const bool is_stream = *rc::gen::arbitrary<bool>();
        const auto route = route_of(is_stream ? call_kind::streaming : call_kind::non_idempotent,
                                    false, *rc::gen::inRange<std::uint32_t>(1, 4));
        call_progress progress(route, [] { return true; });
        int runs = 0;
        while (progress.may_attempt()) {
            const auto outcome = static_cast<attempt_outcome>(*rc::gen::inRange(0, 5));
            runs += outcome == attempt_outcome::not_run ? 0 : 1;
            RC_ASSERT(runs <= 1);
            progress.begin_attempt();
            progress.note(outcome, static_cast<endpoint_end>(*rc::gen::inRange(0, 3)));
        }
        RC_ASSERT((progress.execution() == execution_outcome::not_run) == (runs == 0));
    }));
}

TEST_CASE("an answer is read until its deadline, and what has arrived by then for a short time") {
    // Guards against bytes without end that outlast the deadline, and against a process that was
    // paused beyond it and drops an answer that is there.
    const time_point deadline{std::chrono::hours(1)};
    coordination::reading_limit reading(deadline);
    CHECK_FALSE(reading.is_over(deadline - milliseconds(1)));
    CHECK_FALSE(reading.is_over(deadline));
    CHECK_FALSE(reading.is_over(deadline + milliseconds(50)));
    CHECK(reading.is_over(deadline + milliseconds(100)));

    coordination::reading_limit after_pause(deadline);
    const auto woken = deadline + std::chrono::seconds(5);
    CHECK_FALSE(after_pause.is_over(woken));
    CHECK(after_pause.is_over(woken + milliseconds(100)));
}
