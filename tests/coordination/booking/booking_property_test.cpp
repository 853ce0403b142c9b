// Property tests of bookings under random interleavings of calls and faults, and
// mutation tests that replace one rule by an incorrect one and expect a violation.
#include "coordination/booking/booking_simulation.h"
#include "support/scenarios.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace savoryrelay;
using tests::booking_simulation;
using tests::service_features;

namespace {

constexpr std::uint32_t operations = 16;

// Runs one step; `code` encodes the operation and its arguments.
void apply(booking_simulation& simulation, std::uint32_t code) {
    const auto host = (code / operations) % booking_simulation::host_count;
    const auto choice = (code / operations / booking_simulation::host_count) % 1'000;
    switch (code % operations) {
    case 0:
    case 1:
    case 2:
        simulation.submit(host, "k" + std::to_string(choice % 3), choice % 10 == 9 ? "other" : "d",
                          state::milliseconds(200 + choice * 5));
        break;
    case 3:
    case 4:
    case 5:
        simulation.flush(host);
        break;
    case 6:
        simulation.recover(host);
        break;
    case 7:
        if (simulation.calls_in_transit() > 0) {
            simulation.deliver(choice % simulation.calls_in_transit());
        }
        break;
    case 8:
        if (simulation.pending_replies() > 0) {
            simulation.reply(choice % simulation.pending_replies());
        }
        break;
    case 9:
        if (simulation.calls_in_transit() > 0) {
            simulation.time_out(choice % simulation.calls_in_transit());
        }
        break;
    case 10:
        if (simulation.calls_in_transit() > 0) {
            simulation.refuse(choice % simulation.calls_in_transit());
        }
        break;
    case 11:
        choice % 2 == 0 ? simulation.restart(host)
                        : simulation.kill_after_store_calls(host, choice % 4);
        break;
    case 12:
        simulation.platform.store_down = choice % 2 == 0;
        break;
    case 13:
        simulation.platform.lose_next_replies = 1;
        break;
    case 14:
        simulation.now += state::milliseconds(choice * 4);
        break;
    default:
        if (!simulation.believed_dead.erase(host)) {
            simulation.believed_dead.insert(host);
        }
        break;
    }
}

std::vector<std::string> run_scenario(const std::vector<std::uint32_t>& codes,
                                      service_features features,
                                      const coordination::booking_rules& rules) {
    booking_simulation simulation(features, rules);
    for (const auto code : codes) {
        apply(simulation, code);
    }
    simulation.quiesce();
    return simulation.violations;
}

// Returns whether any random scenario with `rules` causes a violation whose text
// contains `expected`.
bool finds_violation(service_features features, const coordination::booking_rules& rules,
                     const std::string& expected) {
    std::mt19937 random(20'261'204);
    for (int scenario = 0; scenario < 3'000; ++scenario) {
        std::vector<std::uint32_t> codes(60);
        std::generate(codes.begin(), codes.end(), std::ref(random));
        for (const auto& violation : run_scenario(codes, features, rules)) {
            if (violation.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

// Guards against a key that runs twice, a false "not run", a lost or duplicated
// booking, a call that is never answered, and a transition that the transition
// table forbids.
TEST_CASE("bookings keep their guarantees under faults", "[booking][property]") {
    for (const auto features : {service_features::nothing, service_features::read_back,
                                service_features::read_back_and_close}) {
        const bool held = rc::check("bookings", [features] {
            for (const auto& codes : tests::any_scenarios(120)) {
                const auto violations = run_scenario(codes, features, {});
                if (!violations.empty()) {
                    RC_FAIL(violations.front());
                }
            }
        });
        CHECK(held);
    }
}

// Checks that the property test detects a call that is sent before its intent is
// durable, and a call that ran but is reported as "not run".
TEST_CASE("dispatch without a durable intent runs a key twice", "[booking][mutation]") {
    coordination::booking_rules incorrect_rules;
    incorrect_rules.may_dispatch = [](coordination::commit_status) { return true; };
    CHECK(finds_violation(service_features::nothing, incorrect_rules, "ran twice"));
    CHECK(finds_violation(service_features::nothing, incorrect_rules, "false 'not run'"));
}

// Checks that the property test detects "not run" for a call that may still
// arrive.
TEST_CASE("treating an absent key as not run contradicts the service and runs a key twice",
          "[booking][mutation]") {
    coordination::booking_rules incorrect_rules;
    incorrect_rules.state_from_service = [](coordination::service_key_status key_status) {
        return std::optional(key_status == coordination::service_key_status::ran
                                 ? state::booking_state::ran
                                 : state::booking_state::not_run);
    };
    CHECK(finds_violation(service_features::read_back, incorrect_rules, "contradicts the service"));
    CHECK(finds_violation(service_features::read_back, incorrect_rules, "ran twice"));
}

// Checks that the property test detects an outcome that is dropped during a store
// outage.
TEST_CASE("dropping an outcome loses an answered booking", "[booking][mutation]") {
    coordination::booking_rules incorrect_rules;
    incorrect_rules.should_retry_outcome = [](coordination::commit_status) { return false; };
    CHECK(finds_violation(service_features::nothing, incorrect_rules, "answered booking lost"));
}
