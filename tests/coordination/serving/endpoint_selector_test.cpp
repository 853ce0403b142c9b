// Tests which endpoints the selector passes over.
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
    [[nodiscard]] std::variant<selected_endpoint, selection_failure> select(state::time_point now) {
        return selector.select(service, {}, {}, 1s, now);
    }
    [[nodiscard]] state::endpoint_id selected(state::time_point now) {
        return std::get<selected_endpoint>(select(now)).runner.record.id;
    }
    [[nodiscard]] selection_failure failure(state::time_point now) {
        return std::get<selection_failure>(select(now));
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
    fixture.fleet.note_leaving(second, 5, exclusion_source::answer, start);
    CHECK(fixture.failure(start) == selection_failure::none_in_service);
}
