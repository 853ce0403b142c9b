// Tests the retry rules, the retry budget, and the quarantine of requests that
// crash endpoints.
#include "savoryrelay/coordination/retry/crash_suspects.h"
#include "savoryrelay/coordination/retry/retry_budget.h"
#include "savoryrelay/coordination/retry/retry_policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using state::execution_outcome;
using state::failure_kind;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
const state::deployment_id deployment{"d"};

retry_hooks hooks_with(bool has_budget) {
    return {proves_not_run, [has_budget] { return has_budget; }};
}

attempt_history new_history() {
    attempt_history history;
    history.deadline = start + 10s;
    return history;
}

// Retries a request through attempts with random ends. Returns true when the
// failure says "not run" although an attempt may have run, or when a request with
// at-most-once semantics is retried after such an attempt.
bool breaks_outcome_promise(const retry_hooks& hooks) {
    auto history = new_history();
    history.repeat =
        *rc::gen::element(state::repeat_rule::repeatable, state::repeat_rule::at_most_once);
    bool may_have_run = false;
    for (;;) {
        const auto end = static_cast<attempt_end>(
            *rc::gen::inRange<std::size_t>(0, state::enum_table<attempt_end>::rows.size()));
        const bool attempt_may_have_run = end == attempt_end::no_answer ||
                                          end == attempt_end::answer_interrupted ||
                                          end == attempt_end::progress_deadline;
        may_have_run = may_have_run || attempt_may_have_run;
        const auto decision = decide_retry(history, end, {}, hooks, start);
        if (decision.give_up) {
            return may_have_run &&
                   decision.give_up->reported_outcome() == execution_outcome::not_run;
        }
        if (may_have_run && history.repeat == state::repeat_rule::at_most_once) {
            return true;
        }
        history.earlier_proved_not_run =
            history.earlier_proved_not_run && hooks.proves_not_run(end);
        ++history.attempts;
    }
}

struct crash_run {
    std::size_t crashes = 0;
    std::size_t others_refused = 0;
};

// Runs ten requests on three endpoints. The first request crashes its endpoint.
// Each request is retried until it finishes or is refused. With `isolate`, an
// endpoint runs at most one suspect at a time.
crash_run run_crashes(const crash_hooks& hooks, bool isolate, std::uint64_t seed) {
    crash_suspects suspects({}, hooks);
    std::mt19937_64 random(seed);
    constexpr std::size_t endpoints = 3;
    constexpr std::size_t rounds = 30;
    std::vector<request_fingerprint> open(10);
    for (std::size_t i = 0; i < open.size(); ++i) {
        open[i] = fingerprint_of(state::customer_id("c"), std::to_string(i));
    }
    const auto crashing = open[0];
    crash_run result;
    for (std::uint64_t round = 0; round < rounds && !open.empty(); ++round) {
        std::array<std::vector<request_fingerprint>, endpoints> placed;
        std::vector<request_fingerprint> later;
        for (const auto request : open) {
            if (!state::collect([&] { return suspects.check(request); })) {
                result.others_refused += request != crashing ? 1 : 0;
                continue;
            }
            const auto at = random() % endpoints;
            const state::endpoint_id name("e" + std::to_string(at));
            if (isolate && suspects.is_suspect(request) && !suspects.reserve(name, request)) {
                later.push_back(request);
                continue;
            }
            placed.at(at).push_back(request);
        }
        open = later;
        for (std::size_t at = 0; at < endpoints; ++at) {
            const state::endpoint_id name("e" + std::to_string(at));
            const auto& here = placed.at(at);
            for (const auto request : here) {
                suspects.release(name, request);
            }
            if (std::find(here.begin(), here.end(), crashing) != here.end()) {
                ++result.crashes;
                const endpoint_crash crash{name, round, here};
                suspects.record_crash(crash, start);
                suspects.record_crash(crash, start); // reported by a peer as well
                open.insert(open.end(), here.begin(), here.end());
            }
        }
    }
    return result;
}

} // namespace

// Guards against an error in a retry rule.
TEST_CASE("the retry decision follows the rules", "[retry]") {
    struct row {
        std::string_view name;
        std::function<void(attempt_history&)> change;
        attempt_end end;
        bool has_budget;
        std::optional<failure_kind> gives_up;
        execution_outcome outcome;
    };
    constexpr auto not_run = execution_outcome::not_run;
    constexpr auto unknown = execution_outcome::unknown;
    const std::array rows{
        row{"retry", [](auto&) {}, attempt_end::no_answer, true, std::nullopt, unknown},
        row{"no budget", [](auto&) {}, attempt_end::connect_failed, false,
            failure_kind::endpoint_unreachable, not_run},
        row{"deadline", [](auto& h) { h.deadline = start + 10ms; }, attempt_end::no_answer, true,
            failure_kind::deadline_exceeded, unknown},
        row{"attempts", [](auto& h) { h.attempts = 3; }, attempt_end::refused_by_endpoint, true,
            failure_kind::overloaded, not_run},
        row{"earlier attempt was sent",
            [](auto& h) { h.attempts = 3, h.earlier_proved_not_run = false; },
            attempt_end::connect_failed, true, failure_kind::endpoint_unreachable, unknown},
        row{"booking sent", [](auto& h) { h.repeat = state::repeat_rule::at_most_once; },
            attempt_end::no_answer, true, failure_kind::booking_unknown, unknown},
        row{"booking not sent", [](auto& h) { h.repeat = state::repeat_rule::at_most_once; },
            attempt_end::connect_failed, true, std::nullopt, unknown},
        row{"cannot resume", [](auto& h) { h.tokens_relayed = 7; }, attempt_end::progress_deadline,
            true, failure_kind::stream_interrupted, unknown},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        auto history = new_history();
        row.change(history);
        const auto decision = decide_retry(history, row.end, {}, hooks_with(row.has_budget), start);
        REQUIRE(decision.give_up.has_value() == row.gives_up.has_value());
        if (row.gives_up) {
            CHECK(decision.give_up->kind == *row.gives_up);
            CHECK(decision.give_up->reported_outcome() == row.outcome);
        }
    }
    auto history = new_history();
    history.tokens_relayed = 7;
    history.engine_can_resume = true;
    CHECK(decide_retry(history, attempt_end::answer_interrupted, {}, hooks_with(true), start)
              .resume_from == 7);
}

// Guards against a failure that says "not run" for a request that may have run
// (P6), and against a second run of an at-most-once request (P7).
TEST_CASE("a failure says not run only when no attempt can have run", "[retry][property]") {
    CHECK(rc::check([] { RC_ASSERT_FALSE(breaks_outcome_promise(hooks_with(true))); }));
    auto naive = hooks_with(true);
    naive.proves_not_run = [](attempt_end end) { return end != attempt_end::answer_interrupted; };
    bool violated = false;
    rc::check([&] { violated = violated || breaks_outcome_promise(naive); });
    CHECK(violated);
}

// Guards against retries that amplify an overload.
TEST_CASE("a retry storm is bounded by the budget", "[retry][property]") {
    constexpr int requests = 1'000;
    const auto retries_of = [](const std::function<bool()>& take, retry_budget& budget) {
        int retries = 0;
        for (int i = 0; i < requests; ++i) {
            budget.count_first_attempt(deployment);
            auto history = new_history();
            while (!decide_retry(history, attempt_end::no_answer, {}, {proves_not_run, take}, start)
                        .give_up) {
                ++retries;
                ++history.attempts;
            }
        }
        return retries;
    };
    const auto bound = [](double ratio) { return ratio * requests + 10 + 1; };
    CHECK(rc::check([&] {
        const double ratio = *rc::gen::inRange(0, 50) / 100.0;
        retry_budget budget({ratio, 10});
        RC_ASSERT(retries_of([&] { return budget.take(deployment); }, budget) <= bound(ratio));
    }));
    retry_budget unused({0.1, 10});
    CHECK(retries_of([] { return true; }, unused) > bound(0.1));
}

// Guards against a request that crashes one endpoint after another, and against
// the refusal of other requests that ran at the crashed endpoints.
TEST_CASE("a crashing request is quarantined and other requests finish", "[retry][property]") {
    const auto count_refused = [](const crash_hooks& hooks, bool isolate,
                                  std::size_t& most_crashes) {
        std::size_t refused = 0;
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            const auto run = run_crashes(hooks, isolate, seed);
            refused += run.others_refused;
            most_crashes = std::max(most_crashes, run.crashes);
        }
        return refused;
    };
    std::size_t crashes = 0;
    CHECK(count_refused(default_crash_hooks(), true, crashes) == 0);
    CHECK(crashes <= 3);

    // Naive variants: no quarantine; quarantine at the first crash; several suspects
    // at one endpoint.
    crashes = 0;
    count_refused({[](const auto&, const auto&) { return false; }}, true, crashes);
    CHECK(crashes > 3);
    CHECK(count_refused({[](const auto&, const auto&) { return true; }}, true, crashes) > 0);
    CHECK(count_refused(default_crash_hooks(), false, crashes) > 0);
}

// Guards against a table of suspects that grows without bound.
TEST_CASE("the number of suspects is bounded and suspects expire", "[retry]") {
    crash_settings settings;
    settings.max_suspects = 4;
    crash_suspects suspects(settings, default_crash_hooks());
    for (std::uint64_t i = 0; i < 20; ++i) {
        suspects.record_crash({state::endpoint_id("e"), i, {i}}, start);
    }
    CHECK(suspects.size() == 4);
    suspects.sweep(start + settings.retention + 1ms);
    CHECK(suspects.size() == 0);
}

// Guards against duplicated or missing tokens after a resume.
TEST_CASE("each token is accepted once and in order", "[retry]") {
    token_sequence sequence;
    const auto accept = [&](std::uint64_t number) {
        return state::collect([&] { return sequence.accept(number); });
    };
    CHECK(accept(0).value());
    CHECK(accept(1).value());
    CHECK_FALSE(accept(1).value());
    CHECK(accept(3).error().kind == failure_kind::stream_interrupted);
    CHECK(sequence.next() == 2);

    state::deployment_config config;
    stream_progress progress{start, std::nullopt};
    CHECK(progress.deadline(config) == start + config.first_token_timeout);
    progress.last_token_at = start + 1s;
    CHECK(progress.deadline(config) == start + 1s + config.token_timeout);
}
