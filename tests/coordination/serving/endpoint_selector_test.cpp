// Tests which endpoints the selector passes over, and when it knows that all of them have paused.
#include "savoryrelay/coordination/serving/endpoint_selector.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
const state::endpoint_id first("r1");
const state::endpoint_id second("r2");

struct selector_fixture {
    selector_fixture() {
        service.name = "plain";
        for (const auto& id : {first, second}) {
            state::runner_record record;
            record.id = id;
            record.service = service.name;
            record.started_ms = 5;
            record.slots = 8;
            fleet.apply_entry(record, start);
        }
        fleet.refresh(start);
    }

    /// Selects without a refresh of the snapshot.
    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    select(state::time_point now, const std::set<state::endpoint_id>& excluded = {}) {
        return selector.select(service, {}, excluded, 1s, now);
    }
    [[nodiscard]] state::endpoint_id selected(state::time_point now) {
        return std::get<selected_endpoint>(select(now)).runner.record.id;
    }
    [[nodiscard]] selection_failure failure(state::time_point now,
                                            const std::set<state::endpoint_id>& excluded = {}) {
        return std::get<selection_failure>(select(now, excluded));
    }

    /// The endpoint names a rate of calls, without a refresh of the snapshot.
    void limit(const state::endpoint_id& id, std::optional<double> calls_per_s,
               state::time_point now = start) {
        REQUIRE(fleet.note_call_rate(id, 5, calls_per_s, exclusion_source::answer, now, now));
    }

    state::service_rule service;
    fleet_table fleet;
    load_tracker loads;
    prediction_correction correction;
    std::set<state::endpoint_id> admitted; ///< endpoints within the rate that they named
    std::map<state::endpoint_id, double> shortages;
    std::map<state::endpoint_id, int> asked; ///< calls to endpoints that have named a rate
    std::uint64_t random_value = 0;
    endpoint_selector selector{
        fleet,
        loads,
        correction,
        {"edge-0", {}, state::availability_zone_id("z"), 1},
        {.zones_out_of_service =
             [] { return state::make_snapshot(std::set<state::availability_zone_id>()); },
         .host_count = [] { return std::size_t{1}; },
         .host_hashes = [] { return std::vector<std::uint64_t>{1}; },
         .random = [this] { return random_value; },
         .admit_limited =
             [this](const runner_view& runner, state::time_point) {
                 ++asked[runner.record.id];
                 return admitted.contains(runner.record.id);
             },
         .call_shortage = [this](const runner_view& runner,
                                 state::time_point) { return shortages.at(runner.record.id); }}};
};

} // namespace

TEST_CASE("a signal of an endpoint counts before the snapshot of the fleet is rebuilt") {
    selector_fixture fixture;
    fixture.fleet.note_leaving(first, 5, exclusion_source::answer, start);
    CHECK(fixture.selected(start) == second);
    fixture.fleet.note_pause(second, 5, start, start + 2s);
    CHECK(fixture.failure(start) == selection_failure::all_paused);
    CHECK(fixture.selected(start + 2s) == second);
}

TEST_CASE("calls are told the first end of the pauses, and none if an endpoint has not paused") {
    selector_fixture fixture;
    const auto paused_until = [&](state::time_point now) {
        return fixture.selector.paused_until(fixture.service, {}, now);
    };
    CHECK_FALSE(paused_until(start));
    fixture.fleet.note_pause(first, 5, start, start + 3s);
    CHECK_FALSE(paused_until(start));
    fixture.fleet.note_pause(second, 5, start, start + 2s);
    CHECK(paused_until(start) == start + 2s);
    CHECK(fixture.failure(start, {first}) == selection_failure::all_paused);
    CHECK_FALSE(paused_until(start + 2s)); // the second one takes calls again

    // An endpoint that leaves takes no calls at the end of its pause.
    fixture.fleet.note_leaving(second, 5, exclusion_source::answer, start);
    CHECK(paused_until(start) == start + 3s);
    fixture.fleet.note_leaving(first, 5, exclusion_source::answer, start);
    CHECK_FALSE(paused_until(start));
    CHECK(fixture.failure(start) == selection_failure::none_in_service);
}

TEST_CASE("a call that has tried the only endpoint that takes calls is not told of a pause") {
    selector_fixture fixture;
    fixture.fleet.note_pause(first, 5, start, start + 3s);
    CHECK(fixture.failure(start, {second}) == selection_failure::none_in_service);
}

TEST_CASE("an endpoint that gets all the calls that it takes is left out and the other taken") {
    selector_fixture fixture;
    fixture.limit(first, 6.5);
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.selected(start) == second);
    }
    CHECK(fixture.asked.count(second) == 0); // it has named no rate
    fixture.limit(second, 6.5);
    fixture.admitted = {first};
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.selected(start) == first);
    }
}

TEST_CASE("a call beyond the rates of all endpoints is told so") {
    selector_fixture fixture;
    fixture.limit(first, 6.5);
    fixture.limit(second, 0);
    CHECK(fixture.failure(start) == selection_failure::all_limited);
    CHECK(fixture.failure(start, {first}) == selection_failure::all_limited);
    // Each endpoint is asked once for each call.
    CHECK(fixture.asked[first] == 1);
    CHECK(fixture.asked[second] == 2);

    // Endpoints that take no calls for another reason are not asked.
    fixture.fleet.note_pause(second, 5, start, start + 2s);
    CHECK(fixture.failure(start) == selection_failure::all_limited);
    CHECK(fixture.asked[second] == 2);
    fixture.fleet.note_pause(first, 5, start, start + 2s);
    CHECK(fixture.failure(start) == selection_failure::all_paused);

    // A rate that is named no longer does not bind.
    fixture.limit(first, std::nullopt, start + 3s);
    CHECK(fixture.selected(start + 3s) == first);
}

TEST_CASE("the preview of a placement neither counts a call nor regards the rates") {
    selector_fixture fixture;
    fixture.limit(first, 0);
    fixture.limit(second, 0);
    const auto previewed = fixture.selector.preview(fixture.service, {}, {}, start);
    CHECK(std::holds_alternative<selected_endpoint>(previewed));
    CHECK(fixture.asked.empty());
}

TEST_CASE("callers beyond the rates are told to come back spread over the time of the shortage") {
    selector_fixture fixture;
    const auto retry_after = [&](std::uint64_t random) {
        fixture.random_value = random;
        return fixture.selector.retry_after_limits(fixture.service, {}, start);
    };
    constexpr auto shortest = call_rate_limiter::min_retry_after;
    constexpr auto longest = call_rate_limiter::max_retry_after;
    CHECK(retry_after(999) <= longest); // no endpoint has named a rate
    fixture.limit(first, 6.5);
    fixture.limit(second, 6.5);
    fixture.fleet.refresh(start);
    fixture.shortages = {{first, 1e300}, {second, 2}};
    CHECK(retry_after(0) == shortest);
    // The endpoint that lacks least decides.
    CHECK(retry_after(500) == 1'150ms);
    fixture.shortages[second] = 1e300;
    CHECK(retry_after(999) == 2'997ms);
    // Callers don't come back together at a bound.
    CHECK(retry_after(998) < retry_after(999));
    CHECK(retry_after(1) > shortest);
    for (std::uint64_t random = 0; random < 5'000; random += 7) {
        const auto wait = retry_after(random);
        CHECK(wait >= shortest);
        CHECK(wait <= longest);
    }
    fixture.shortages = {{first, 1}, {second, 1}};
    CHECK(retry_after(999) >= shortest);
    CHECK(retry_after(999) <= 1s);
}

TEST_CASE("admission counts a group for what its head takes by the rate that it named") {
    state::service_rule service;
    service.name = "model";
    state::engine_rule engine;
    engine.slots = 4;
    engine.step_ms = 5;
    engine.prompt_tokens_per_ms = 46;
    engine.chunk_tokens = 2'048;
    engine.usual_answer_tokens = 100;
    engine.usual_prompt_tokens = 460;
    engine.models = {{"gold", 1, 1, 1.0, 1s, 1s}};
    service.engine = engine;
    selector_fixture fixture;
    const state::endpoint_id head("h1");
    for (const auto& id : {head, state::endpoint_id("h2")}) {
        state::runner_record record;
        record.id = id;
        record.service = service.name;
        record.started_ms = 5;
        record.model = "gold";
        record.membership =
            state::group_membership{"g-" + id.value(), 1, 0, state::membership_state::open};
        fixture.fleet.apply_entry(record, start);
    }
    const auto groups = [&] {
        fixture.fleet.refresh(start);
        return fixture.selector.supply(service, engine.models.front(), start).groups;
    };
    CHECK(groups() == Approx(2));
    state::serving_call usual;
    usual.prompt_tokens = engine.usual_prompt_tokens;
    const double calls_per_s = 1'000 / call_work_ms(engine, engine.models.front(), usual);
    fixture.limit(head, calls_per_s / 4, start);
    CHECK(groups() == Approx(1.25));
    fixture.limit(head, 0, start + 1ms);
    CHECK(groups() == Approx(1 + min_call_rate_per_s / calls_per_s));
    fixture.limit(head, 10 * calls_per_s, start + 2ms);
    CHECK(groups() == Approx(2));
    fixture.limit(head, std::nullopt, start + 3ms);
    CHECK(groups() == Approx(2));
    CHECK(fixture.asked.empty());
}
