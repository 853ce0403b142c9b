// Tests which endpoints the selector passes over, and when it knows that all of them have paused.
#include "savoryrelay/coordination/serving/endpoint_selector.h"

#include <catch2/catch.hpp>

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

    state::service_rule service;
    fleet_table fleet;
    load_tracker loads;
    prediction_correction correction;
    endpoint_selector selector{
        fleet,
        loads,
        correction,
        {"edge-0", {}, state::availability_zone_id("z"), 1},
        {.zones_out_of_service =
             [] { return std::make_shared<std::set<state::availability_zone_id>>(); },
         .host_count = [] { return std::size_t{1}; },
         .host_hashes = [] { return std::vector<std::uint64_t>{1}; },
         .random = [] { return std::uint64_t{0}; }}};
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
