// Tests which calls may be retried, and when a call is reported as not run.
#include "savoryrelay/coordination/serving/call_progress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using coordination::attempt_outcome;
using coordination::call_progress;
using state::call_kind;
using state::execution_outcome;

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
    refused.note(attempt_outcome::not_run, false);
    CHECK(refused.may_attempt());
    CHECK(refused.execution() == execution_outcome::not_run);

    call_progress lost(route, [] { return true; });
    lost.note(attempt_outcome::lost, true);
    CHECK_FALSE(lost.may_attempt());
    CHECK(lost.execution() == execution_outcome::unknown);
}

TEST_CASE("the limit on endpoints of a resumable stream does not count ended endpoints") {
    const auto route = route_of(call_kind::streaming, true, 2);
    call_progress progress(route, [] { return true; });
    progress.note(attempt_outcome::lost, false);
    CHECK(progress.may_attempt());
    progress.note(attempt_outcome::lost, false);
    CHECK_FALSE(progress.may_attempt());

    call_progress ended(route, [] { return true; });
    ended.note(attempt_outcome::lost, true);
    ended.note(attempt_outcome::lost, false);
    CHECK(ended.may_attempt());
}

TEST_CASE("a repeat takes from the budget, a first attempt does not") {
    const auto route = route_of(call_kind::idempotent, false, 3);
    call_progress progress(route, [] { return false; });
    CHECK(progress.may_attempt());
    progress.note(attempt_outcome::not_run, false);
    CHECK_FALSE(progress.may_attempt());
}

TEST_CASE("an attempt is reserved only if it may follow, and takes one repeat") {
    int repeats = 1;
    const auto take = [&] { return repeats-- > 0; };
    const auto resumable = route_of(call_kind::streaming, true, 2);
    call_progress progress(resumable, take);
    REQUIRE(progress.may_attempt());
    CHECK(progress.reserve_attempt());
    CHECK(progress.reserve_attempt());
    CHECK(repeats == 0);
    progress.note(attempt_outcome::lost, false);
    CHECK(progress.may_attempt());
    CHECK_FALSE(progress.reserve_attempt()); // the route allows two endpoints

    call_progress without_budget(resumable, take);
    CHECK_FALSE(without_budget.reserve_attempt());
    call_progress once(route_of(call_kind::streaming, false, 2), [] { return true; });
    CHECK_FALSE(once.reserve_attempt());
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
            progress.note(outcome, *rc::gen::arbitrary<bool>());
        }
        RC_ASSERT((progress.execution() == execution_outcome::not_run) == (runs == 0));
    }));
}
