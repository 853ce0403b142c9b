// Properties of bookings under random interleavings of calls and faults, and
// the violations that appear when one rule is replaced by a naive one.
#include "coordination/booking/booking_world.h"
#include "support/scenarios.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace savoryrelay;
using tests::booking_world;
using tests::service_offer;

namespace {

constexpr std::uint32_t operations = 16;

// Applies one step; `code` chooses the operation and its arguments.
void apply(booking_world& world, std::uint32_t code) {
    const auto host = (code / operations) % booking_world::host_count;
    const auto choice = (code / operations / booking_world::host_count) % 1'000;
    switch (code % operations) {
    case 0:
    case 1:
    case 2:
        world.submit(host, "k" + std::to_string(choice % 3), choice % 10 == 9 ? "other" : "d",
                     state::milliseconds(200 + choice * 5));
        break;
    case 3:
    case 4:
    case 5:
        world.flush(host);
        break;
    case 6:
        world.recover(host);
        break;
    case 7:
        if (world.in_network() > 0) {
            world.deliver(choice % world.in_network());
        }
        break;
    case 8:
        if (world.unanswered() > 0) {
            world.reply(choice % world.unanswered());
        }
        break;
    case 9:
        if (world.in_network() > 0) {
            world.time_out(choice % world.in_network());
        }
        break;
    case 10:
        if (world.in_network() > 0) {
            world.refuse(choice % world.in_network());
        }
        break;
    case 11:
        choice % 2 == 0 ? world.restart(host) : world.kill_after_store_calls(host, choice % 4);
        break;
    case 12:
        world.platform.store_down = choice % 2 == 0;
        break;
    case 13:
        world.platform.lose_next_replies = 1;
        break;
    case 14:
        world.now += state::milliseconds(choice * 4);
        break;
    default:
        if (!world.believed_dead.erase(host)) {
            world.believed_dead.insert(host);
        }
        break;
    }
}

std::vector<std::string> run_scenario(const std::vector<std::uint32_t>& codes, service_offer offer,
                                      const coordination::booking_rules& rules) {
    booking_world world(offer, rules);
    for (const auto code : codes) {
        apply(world, code);
    }
    world.quiesce();
    return world.violations;
}

// True when random scenarios under naive rules find a violation whose text
// contains `expected`.
bool finds_violation(service_offer offer, const coordination::booking_rules& rules,
                     const std::string& expected) {
    std::mt19937 random(20'261'204);
    for (int scenario = 0; scenario < 3'000; ++scenario) {
        std::vector<std::uint32_t> codes(60);
        std::generate(codes.begin(), codes.end(), std::ref(random));
        for (const auto& violation : run_scenario(codes, offer, rules)) {
            if (violation.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

// Guards against a key that runs twice, an untrue "not run", a lost or doubled
// booking, a call that is never answered, and a step outside the table.
TEST_CASE("bookings keep their promises under faults", "[booking][property]") {
    for (const auto offer :
         {service_offer::nothing, service_offer::read_back, service_offer::read_back_and_close}) {
        const bool held = rc::check("bookings", [offer] {
            for (const auto& codes : tests::any_scenarios(120)) {
                const auto violations = run_scenario(codes, offer, {});
                if (!violations.empty()) {
                    RC_FAIL(violations.front());
                }
            }
        });
        CHECK(held);
    }
}

// Shows that the property notices a call that is sent before its intent is
// durable, and a refusal "not run" of a call that ran.
TEST_CASE("dispatch without a durable intent runs a key twice", "[booking][mutation]") {
    coordination::booking_rules naive;
    naive.may_dispatch = [](coordination::commit_verdict) { return true; };
    CHECK(finds_violation(service_offer::nothing, naive, "ran twice"));
    CHECK(finds_violation(service_offer::nothing, naive, "untrue refusal"));
}

// Shows that the property notices "not run" for a call that may still arrive.
TEST_CASE("taking an absent key for not run is untrue", "[booking][mutation]") {
    coordination::booking_rules naive;
    naive.settle = [](coordination::service_reading reading) {
        return std::optional(reading == coordination::service_reading::ran
                                 ? state::booking_state::ran
                                 : state::booking_state::not_run);
    };
    CHECK(finds_violation(service_offer::read_back, naive, "is untrue"));
    CHECK(finds_violation(service_offer::read_back, naive, "ran twice"));
}

// Shows that the property notices an outcome that an outage of the store drops.
TEST_CASE("dropping an outcome loses an answered booking", "[booking][mutation]") {
    coordination::booking_rules naive;
    naive.keeps_outcome = [](coordination::commit_verdict) { return false; };
    CHECK(finds_violation(service_offer::nothing, naive, "answered booking lost"));
}
