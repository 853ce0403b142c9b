// Tests the explanation of where a call would go.
#include "savoryrelay/coordination/serving/placement_explainer.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;
using state::placement_verdict;

namespace {

const state::time_point start = state::time_point() + 1h;

state::serving_configuration make_configuration() {
    state::serving_configuration configuration;
    configuration.version = 7;
    state::engine_rule engine;
    engine.slots = 4;
    engine.step_ms = 5;
    engine.prompt_tokens_per_ms = 46;
    engine.chunk_tokens = 2'048;
    engine.usual_answer_tokens = 100;
    engine.models = {{"gold", 1, 1, 1.0, 1s, 1s}};
    configuration.services["model"] = {"model", "", 0, {}, 0, engine};
    state::route_rule route;
    route.name = "ask";
    route.host = "a.example";
    route.path_prefix = "/ask/";
    route.kind = state::call_kind::streaming;
    route.services = {{"model", 1}};
    configuration.routes = {route};
    configuration.requires_keys = true;
    configuration.customers = {{state::customer_id("workshop"), {"k1"}, std::nullopt}};
    configuration.index();
    return configuration;
}

struct explained_fleet {
    fleet_table fleet;
    load_tracker loads;
    prediction_correction correction;
    endpoint_selector selector{
        fleet,
        loads,
        correction,
        {"h1", {}, state::availability_zone_id("a"), 1},
        {.zones_out_of_service =
             [] { return state::make_snapshot(std::set<state::availability_zone_id>()); },
         .host_count = [] { return std::size_t{1}; },
         .host_hashes = [] { return std::vector<std::uint64_t>{1}; },
         .random = [] { return std::uint64_t{0}; }}};
    std::function<void()> at_judgement = [] {}; // called before the verdict on each group
    placement_explainer explainer{fleet, loads, selector, "h1", [this] {
                                      at_judgement();
                                      return state::make_snapshot(
                                          std::set<state::availability_zone_id>());
                                  }};

    void apply_group(const std::string& id, state::membership_state state) {
        state::runner_record runner;
        runner.id = state::endpoint_id(id);
        runner.service = "model";
        runner.availability_zone = state::availability_zone_id("a");
        runner.started_ms = 1;
        runner.model = "gold";
        runner.membership = state::group_membership{"g-" + id, 1, 0, state};
        fleet.apply_entry(runner, start);
    }
    void add_group(const std::string& id,
                   state::membership_state state = state::membership_state::open) {
        apply_group(id, state);
        fleet.refresh(start);
    }
    void send(const std::string& id, int calls) {
        for (int i = 0; i < calls; ++i) {
            loads.begin_call(state::endpoint_id(id), 100);
        }
    }
    [[nodiscard]] static state::serving_call call() {
        state::serving_call call;
        call.host = "a.example";
        call.path = "/ask/1";
        call.key = "k1";
        call.model = "gold";
        call.prompt_tokens = 100;
        return call;
    }
    [[nodiscard]] state::placement_report explain(const state::serving_call& call) const {
        return explainer.explain(make_configuration(), call, start);
    }
};

} // namespace

TEST_CASE("an explained call goes to the group that a sent one gets, and counts nothing") {
    explained_fleet fleet;
    fleet.add_group("i-busy");
    fleet.add_group("i-free");
    fleet.add_group("i-full");
    fleet.add_group("i-closing", state::membership_state::closing);
    fleet.send("i-busy", 2);
    fleet.send("i-full", 4);

    const auto report = fleet.explain(explained_fleet::call());
    CHECK(report.route == "ask");
    CHECK(report.customer == "workshop");
    CHECK(report.refusal.empty());
    REQUIRE(report.services.size() == 1);
    const auto& service = report.services.front();
    CHECK(service.endpoint == "i-free");
    REQUIRE(service.candidates.size() == 4);
    CHECK(service.candidates[0].id.value() == "i-free");
    CHECK(service.candidates[1].id.value() == "i-busy");
    CHECK(service.candidates[1].load.waiting == 2);
    CHECK(service.candidates[2].verdict == placement_verdict::full);
    CHECK(service.candidates[3].verdict == placement_verdict::not_serving);
    CHECK(fleet.loads.own(start).size() == 2);

    const auto configuration = make_configuration();
    const auto selected = fleet.selector.select(configuration.services.at("model"),
                                                explained_fleet::call(), {}, 5s, start);
    CHECK(std::get<selected_endpoint>(selected).runner.record.id.value() == service.endpoint);
}

TEST_CASE("an explained call that would be refused names the reason") {
    explained_fleet fleet;
    CHECK(fleet.explain(explained_fleet::call()).services.front().failure == "none_in_service");
    fleet.add_group("i-1");
    fleet.send("i-1", 4);
    CHECK(fleet.explain(explained_fleet::call()).services.front().failure == "all_full");

    auto of_nobody = explained_fleet::call();
    of_nobody.key = "k2";
    CHECK(fleet.explain(of_nobody).refusal == "unknown_key");
    auto elsewhere = explained_fleet::call();
    elsewhere.path = "/other/";
    CHECK(fleet.explain(elsewhere).refusal == "no_route");
    CHECK(fleet.explainer.explain({}, elsewhere, start).refusal == "no_configuration");
}

// Guards against reading a snapshot of the fleet that has been freed. A process that does so
// crashes, and the requests that it has accepted get no answer.
TEST_CASE("a call is explained by the snapshot with which the explanation began") {
    constexpr int group_count = 400; // their snapshot is so large that freeing it unmaps it
    explained_fleet fleet;
    for (int i = 0; i < group_count; ++i) {
        fleet.apply_group("i-" + std::to_string(i), state::membership_state::open);
    }
    fleet.fleet.refresh(start);
    int judgements = 0;
    fleet.at_judgement = [&] {
        if (++judgements == 1) {
            fleet.fleet.apply_removal(state::endpoint_id("i-0"), start);
            fleet.fleet.refresh(start); // replaces the snapshot
        }
    };
    const auto report = fleet.explain(explained_fleet::call());
    REQUIRE(report.services.size() == 1);
    CHECK(report.services.front().candidates.size() == group_count);
}
