// Tests of leases: single steps, properties under faults, and the violations that occur when a rule
// is replaced by a naive one.
#include "coordination/lease/lease_simulation.h"
#include "support/fault_matrix.h"
#include "support/scenarios.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <random>
#include <utility>

using namespace savoryrelay;
using state::lease_phase;
using tests::lease_simulation;

namespace {

constexpr std::uint32_t operation_count = 14;
constexpr state::milliseconds longer_than_any_lease(60'000);

// Parameters of a scenario: whether the engine enforces fencing numbers, whether a member may pause
// between the check and the sending of an order, and whether a holder's writes check the lease row.
struct scenario_kind {
    bool enforces_fencing = true;
    bool pauses_before_sending = true;
    bool checks_lease_in_writes = true;
};

void apply(lease_simulation& simulation, std::uint32_t code, const scenario_kind& kind) {
    const auto member = (code / operation_count) % lease_simulation::member_count;
    const auto choice = (code / operation_count / lease_simulation::member_count) % 1'000;
    switch (code % operation_count) {
    case 0:
    case 1:
    case 2:
    case 3:
        simulation.maintain(member, choice % 20 != 0);
        break;
    case 4:
    case 5:
        simulation.check_order(member);
        if (!kind.pauses_before_sending) {
            simulation.send_orders(member);
        }
        break;
    case 6:
        simulation.send_orders(member);
        break;
    case 7:
        if (simulation.orders_in_network() > 0) {
            simulation.deliver(choice % simulation.orders_in_network());
        }
        break;
    case 8:
        simulation.end_orders(member);
        break;
    case 9:
        simulation.prepare_write(member);
        break;
    case 10:
        simulation.send_write(member);
        break;
    case 11:
        simulation.now += state::milliseconds(choice % 5 == 0 ? choice * 20 : choice);
        break;
    case 12:
        simulation.platform.store_down = choice % 3 == 0;
        simulation.platform.lose_next_replies = choice % 3 == 1 ? 1 : 0;
        simulation.store_delay = state::milliseconds(choice % 7 == 0 ? 8'000 : 0);
        break;
    default:
        if (choice % 4 == 0) {
            simulation.restart(member);
        }
        break;
    }
}

std::vector<std::string> run_scenario(const std::vector<std::uint32_t>& codes,
                                      const scenario_kind& kind,
                                      const coordination::lease_rules& rules) {
    lease_simulation simulation(kind.enforces_fencing, rules);
    simulation.check_lease_in_writes = kind.checks_lease_in_writes;
    for (const auto code : codes) {
        apply(simulation, code, kind);
    }
    return simulation.violations;
}

bool finds_violation(const scenario_kind& kind, const coordination::lease_rules& rules) {
    std::mt19937 random(20'261'204);
    for (int scenario = 0; scenario < 5'000; ++scenario) {
        std::vector<std::uint32_t> codes(150);
        std::generate(codes.begin(), codes.end(), std::ref(random));
        if (!run_scenario(codes, kind, rules).empty()) {
            return true;
        }
    }
    return false;
}

// Lets member 2 acquire the lease, waits until it expires, and lets `member` acquire it as the
// successor.
void make_successor(lease_simulation& simulation, std::size_t member) {
    simulation.maintain(2);
    simulation.maintain(member);
    simulation.now += simulation.settings.duration + simulation.settings.margin;
    simulation.maintain(member);
}

} // namespace

// Guards against two effective holders: after an order or write of a successor, no order, reply or
// write of an earlier holder may be applied or accepted.
TEST_CASE("a lease has one effective holder under faults", "[lease][property]") {
    // An engine that ignores fencing numbers is safe unless a member pauses between the check and
    // the sending of an order. In that case, the group's generation protects the engine.
    for (const scenario_kind kind : {scenario_kind{true, true}, scenario_kind{false, false}}) {
        CHECK(rc::check("leases", [kind] {
            for (const auto& codes : tests::any_scenarios(250)) {
                const auto violations =
                    run_scenario(codes, kind, coordination::standard_lease_rules());
                if (!violations.empty()) {
                    RC_FAIL(violations.front());
                }
            }
        }));
    }
}

// Shows that the property test detects an engine without a fencing check when a holder pauses
// between the check and the sending of an order.
TEST_CASE("without a fencing check a late order is applied", "[lease][mutation]") {
    CHECK(finds_violation({false, true}, coordination::standard_lease_rules()));
}

// Shows that the property test detects a holder that does not check its clock.
TEST_CASE("without the clock checks two members hold a lease", "[lease][mutation]") {
    auto naive = coordination::standard_lease_rules();
    naive.may_send = [](auto, auto, const auto&) { return true; };
    naive.may_accept = [](auto, auto) { return true; };
    CHECK(finds_violation({false, false}, naive));
}

// Shows that the property test detects a member that takes over a lease too early and does not wait
// for the orders of its predecessor.
TEST_CASE("without the expiry check and the wait two members hold a lease", "[lease][mutation]") {
    auto naive = coordination::standard_lease_rules();
    naive.is_expired = [](auto, auto, auto, const auto&) { return true; };
    naive.first_order_at = [](state::time_point seen_at, auto, const auto&) { return seen_at; };
    CHECK(finds_violation({false, false}, naive));
}

// Shows that the property test detects a holder's write that does not check the lease row.
TEST_CASE("without the lease check a late write is applied", "[lease][mutation]") {
    CHECK(finds_violation({true, true, false}, coordination::standard_lease_rules()));
}

// Guards against a holder that sends orders with an expired lease after a pause, or never recovers
// from the pause.
TEST_CASE("a holder whose lease expires in a pause sends nothing until it renews", "[lease]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::holding);
    simulation.now += longer_than_any_lease;
    CHECK(simulation.phase(0) == lease_phase::lapsed);
    CHECK_FALSE(simulation.check_order(0));
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::holding);
    CHECK(simulation.check_order(0));
}

// Guards against a successor that sends an order before the last order of its predecessor has timed
// out, and against a predecessor that resumes and overwrites the successor's lease.
TEST_CASE("a successor waits and its predecessor loses the lease", "[lease]") {
    lease_simulation simulation(false);
    make_successor(simulation, 0);
    CHECK(simulation.phase(0) == lease_phase::waiting);
    CHECK_FALSE(simulation.check_order(0));
    simulation.now += simulation.settings.order_timeout;
    CHECK(simulation.phase(0) == lease_phase::holding);
    CHECK(simulation.check_order(0));
    simulation.maintain(2);
    CHECK(simulation.phase(2) == lease_phase::observing);
}

// Guards against a successor that waits although the lease was released, and against a release
// while an order may still be applied.
TEST_CASE("a lease is released only when no order is in flight", "[lease]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    REQUIRE(simulation.check_order(0));
    simulation.send_orders(0);
    simulation.maintain(0, false);
    CHECK(simulation.phase(0) == lease_phase::holding);
    simulation.end_orders(0);
    simulation.maintain(0, false);
    CHECK(simulation.phase(0) == lease_phase::holding);
    simulation.now += simulation.settings.order_timeout + simulation.settings.margin;
    simulation.maintain(0, false);
    CHECK(simulation.phase(0) == lease_phase::observing);
    simulation.maintain(1);
    CHECK(simulation.phase(1) == lease_phase::holding);
}

// Guards against an acquisition that is repeated or dropped after its reply was lost.
TEST_CASE("the result of an acquisition whose reply was lost is read back", "[lease]") {
    lease_simulation simulation(true);
    simulation.platform.lose_next_replies = 1;
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::acquiring);
    CHECK_FALSE(simulation.check_order(0));
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::holding);
    CHECK(simulation.platform.transactions == 1);
}

// Guards against a duration too short to keep the lease when one renewal is lost, and against a
// margin of 0.
TEST_CASE("lease settings with too short a duration or no margin are refused", "[lease]") {
    coordination::lease_settings settings;
    CHECK(state::collect([&] { return check_settings(settings); }).has_value());
    settings.duration = state::milliseconds(8'000);
    CHECK_FALSE(state::collect([&] { return check_settings(settings); }).has_value());
    settings = {};
    settings.margin = state::milliseconds(0);
    CHECK_FALSE(state::collect([&] { return check_settings(settings); }).has_value());
}

namespace {

// Brings member 0 into phase `from`, calls `inject_fault`, and runs the transition to phase `to`.
void run_transition(lease_simulation& simulation, lease_phase from, lease_phase to,
                    const std::function<void()>& inject_fault) {
    using p = lease_phase;
    const auto expire = [&] {
        simulation.now += simulation.settings.duration + state::milliseconds(1);
    };
    const auto release_while_store_is_down = [&] {
        simulation.platform.store_down = true;
        simulation.maintain(0, false);
        simulation.platform.store_down = false;
    };
    bool raced = false;

    // Reach phase `from`. Lost replies keep the lease in the phases that wait for a result.
    if (from == p::waiting || (from == p::lapsed && to == p::waiting)) {
        make_successor(simulation, 0);
    } else if (from == p::holding || from == p::lapsed || from == p::releasing) {
        simulation.maintain(0);
    } else if (from == p::acquiring && to == p::waiting) {
        simulation.maintain(2);
        simulation.maintain(0);
        simulation.now += simulation.settings.duration + simulation.settings.margin;
    } else if (from == p::acquiring && to == p::observing) {
        simulation.platform.before_transact = [&] {
            if (!std::exchange(raced, true)) {
                simulation.maintain(1);
            }
        };
    }
    if (from == p::lapsed && to == p::waiting) {
        release_while_store_is_down();
    } else if (from == p::lapsed) {
        expire();
    } else if (from == p::acquiring || (from == p::releasing && to != p::lapsed)) {
        simulation.platform.lose_next_replies = to == p::observing && from == p::acquiring ? 2 : 1;
        simulation.maintain(0, from == p::acquiring);
    }
    inject_fault();

    // Run the transition to `to`.
    if (from == p::releasing && to == p::lapsed) {
        release_while_store_is_down();
    } else if (to == p::lapsed) {
        expire();
    } else if (to == p::observing && from != p::acquiring && from != p::releasing) {
        simulation.maintain(1);
        simulation.now += longer_than_any_lease;
        simulation.maintain(1);
        simulation.maintain(0);
    } else if (to == p::holding && from == p::waiting) {
        simulation.now += simulation.settings.order_timeout;
    } else if (to == p::releasing || (from == p::observing && to == p::acquiring)) {
        simulation.platform.lose_next_replies = std::max(simulation.platform.lose_next_replies, 1);
        simulation.maintain(0, to == p::acquiring);
    } else {
        simulation.maintain(0, from != p::releasing);
    }
    simulation.platform.before_transact = nullptr;
}

tests::cell_outcome run_cell(lease_phase from, lease_phase to, tests::fault injected) {
    using tests::fault;
    // An engine that ignores fencing numbers reveals more violations than one that enforces them.
    lease_simulation simulation(false);
    std::function<void()> inject_fault;
    switch (injected) {
    case fault::process_killed:
        inject_fault = [&] { simulation.restart(0); };
        break;
    case fault::process_paused:
    case fault::straggler:
        inject_fault = [&] { simulation.now += longer_than_any_lease; };
        break;
    case fault::partition:
    case fault::store_down:
        inject_fault = [&] { simulation.platform.store_down = true; };
        break;
    case fault::store_slow:
        inject_fault = [&] { simulation.store_delay = state::milliseconds(8'000); };
        break;
    case fault::one_way_partition:
    case fault::store_reply_lost:
        inject_fault = [&] { simulation.platform.lose_next_replies = 2; };
        break;
    case fault::operators_race:
        inject_fault = [&] { simulation.maintain(1); };
        break;
    case fault::answer_late:
        inject_fault = [&] {
            simulation.check_order(0);
            simulation.send_orders(0);
        };
        break;
    default:
        return tests::cell_outcome::unaffected;
    }
    run_transition(simulation, from, to, inject_fault);

    // Then both members try to send orders and write every half second for a minute.
    const auto act = [&](std::size_t member) {
        simulation.check_order(member);
        simulation.send_orders(member);
        while (simulation.orders_in_network() > 1) {
            simulation.deliver(simulation.orders_in_network() - 1);
        }
        simulation.end_orders(member);
        simulation.prepare_write(member);
        simulation.send_write(member);
    };
    for (int round = 0; round < 120; ++round) {
        simulation.maintain(static_cast<std::size_t>(round) % 2);
        act(0);
        act(1);
        simulation.now += state::milliseconds(500);
        simulation.platform.store_down = simulation.platform.store_down && round < 60;
        simulation.store_delay = round < 60 ? simulation.store_delay : state::milliseconds(0);
    }
    const bool held_again =
        simulation.phase(0) == lease_phase::holding || simulation.phase(1) == lease_phase::holding;
    return simulation.violations.empty() && held_again ? tests::cell_outcome::held
                                                       : tests::cell_outcome::violated;
}

} // namespace

// Guards against a fault matrix whose cells do not reach their transition.
TEST_CASE("the fault matrix reaches each transition of the lease table without a fault",
          "[lease][matrix]") {
    for (const auto& step : state::transition_table<lease_phase>::rows) {
        lease_simulation simulation(true);
        INFO(state::to_name(step.from) << " -> " << state::to_name(step.to));
        run_transition(simulation, step.from, step.to, [&] {
            // When the store is down, the phase `releasing` lasts only within the call of
            // `maintain`.
            const bool within_call =
                step.from == lease_phase::releasing && step.to == lease_phase::lapsed;
            CHECK((within_call || simulation.phase(0) == step.from));
        });
        CHECK(simulation.phase(0) == step.to);
    }
}

// Guards against a fault at a transition after which two members hold the lease, or after which no
// member holds it again.
TEST_CASE("leases survive each fault at each transition", "[lease][matrix]") {
    tests::run_fault_matrix<lease_phase>("lease", run_cell);
}
