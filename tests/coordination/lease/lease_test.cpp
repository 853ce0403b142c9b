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
constexpr std::uint32_t operation_count_with_restores = 18;
constexpr state::milliseconds longer_than_any_lease(60'000);
constexpr state::milliseconds maintain_interval(100);
// Until a member has resolved its last write, read the row, and sent its own.
constexpr state::milliseconds few_rounds(500);

// Parameters of a scenario: whether the engine enforces fencing numbers, whether a member may pause
// between the check and the sending of an order, whether a holder's writes check the lease row, and
// whether the store is restored from copies and applies writes late.
struct scenario_kind {
    bool enforces_fencing = true;
    bool pauses_before_sending = true;
    bool checks_lease_in_writes = true;
    bool restores_store = false;
};

// Restores the store at once, after an absence, or while the next write is under way.
void restore(lease_simulation& simulation, std::size_t choice) {
    using restore_time = lease_simulation::restore_time;
    const auto age = choice / 8 % 3;
    switch (choice % 8) {
    case 0:
    case 1:
        simulation.restore_store(age);
        break;
    case 2:
        simulation.now += state::milliseconds(choice);
        simulation.restore_store(age);
        break;
    case 3:
        simulation.now += longer_than_any_lease;
        simulation.restore_store(age);
        break;
    case 4:
        simulation.restore_store(age, restore_time::before_next_transaction);
        break;
    case 5:
        simulation.restore_store(age, restore_time::after_next_transaction);
        break;
    case 6:
        simulation.platform.lose_next_replies = 1;
        simulation.restore_store(age, restore_time::before_next_transaction);
        break;
    default:
        simulation.platform.lose_next_replies = 1;
        simulation.restore_store(age, restore_time::after_next_transaction);
        break;
    }
}

void apply(lease_simulation& simulation, std::uint32_t code, const scenario_kind& kind) {
    const auto count = kind.restores_store ? operation_count_with_restores : operation_count;
    const auto member = (code / count) % lease_simulation::member_count;
    const auto choice = (code / count / lease_simulation::member_count) % 1'000;
    switch (code % count) {
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
    case 13:
        if (choice % 4 == 0) {
            simulation.restart(member);
        }
        break;
    case 14:
        simulation.copy_store();
        break;
    case 15:
        restore(simulation, choice);
        break;
    case 16:
        if (choice % 3 == 0) {
            simulation.platform.delay_next_transactions = 1;
        } else {
            simulation.platform.apply_delayed();
        }
        break;
    default:
        simulation.use_versions(choice % 8);
        break;
    }
}

// Ends all faults and returns whether a member can send orders as soon as any lease, held or lost,
// has ended.
bool recovers(lease_simulation& simulation) {
    simulation.platform.store_down = false;
    simulation.platform.lose_next_replies = 0;
    simulation.platform.delay_next_transactions = 0;
    simulation.platform.before_transact = nullptr;
    simulation.platform.after_transact = nullptr;
    simulation.store_delay = state::milliseconds(0);
    const auto& settings = simulation.settings;
    const auto until =
        simulation.now + settings.duration + settings.order_timeout + settings.margin + few_rounds;
    for (; simulation.now < until; simulation.now += maintain_interval) {
        for (std::size_t i = 0; i < lease_simulation::member_count; ++i) {
            simulation.maintain(i);
            simulation.holders();
            if (simulation.check_order(i)) {
                return true;
            }
        }
    }
    return false;
}

std::vector<std::string> run_scenario(const std::vector<std::uint32_t>& codes,
                                      const scenario_kind& kind,
                                      const coordination::lease_rules& rules,
                                      bool hides_era = false) {
    lease_simulation simulation(kind.enforces_fencing, rules);
    simulation.check_lease_in_writes = kind.checks_lease_in_writes;
    simulation.hides_era = hides_era;
    for (const auto code : codes) {
        apply(simulation, code, kind);
        if (kind.restores_store) {
            simulation.holders();
        }
    }
    if (kind.restores_store && !recovers(simulation)) {
        simulation.violations.push_back("no member holds the lease after the faults");
    }
    return simulation.violations;
}

bool finds_violation(const scenario_kind& kind, const coordination::lease_rules& rules,
                     bool hides_era = false) {
    std::mt19937 random(20'261'204);
    for (int scenario = 0; scenario < 5'000; ++scenario) {
        std::vector<std::uint32_t> codes(150);
        std::generate(codes.begin(), codes.end(), std::ref(random));
        if (!run_scenario(codes, kind, rules, hides_era).empty()) {
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

// Lets `member` take the lease of a holder that it does not hear of, and wait until it may send
// orders.
void take_over(lease_simulation& simulation, std::size_t member) {
    simulation.maintain(member);
    simulation.now += simulation.settings.duration + simulation.settings.margin;
    simulation.maintain(member);
    simulation.now += simulation.settings.order_timeout;
    REQUIRE(simulation.phase(member) == lease_phase::holding);
}

// Lets `member` take the lease that a store restored from an empty copy has lost, and checks that
// it sends no order before the lost lease and its orders have ended, and is able to from then on.
void check_lost_lease(lease_simulation& simulation, std::size_t member) {
    const auto found_at = simulation.now;
    const auto& settings = simulation.settings;
    const auto ended_at = found_at + settings.duration + settings.margin;
    for (; simulation.now < ended_at; simulation.now += maintain_interval) {
        simulation.maintain(member);
        CHECK(simulation.phase(member) == lease_phase::observing);
    }
    simulation.maintain(member);
    CHECK_FALSE(simulation.check_order(member));
    simulation.now = ended_at + settings.order_timeout;
    CHECK(simulation.check_order(member));
    CHECK(simulation.violations.empty());
}

// Guards against two effective holders, also when the store is restored: after an order or write of
// a successor, no order, reply or write of an earlier holder may be applied or accepted, and each
// acquisition has a higher fencing number than all before it.
TEST_CASE("a lease has one effective holder under faults", "[lease][property]") {
    // An engine that ignores fencing numbers is safe unless a member pauses between the check and
    // the sending of an order. In that case, the group's generation protects the engine.
    for (const scenario_kind kind :
         {scenario_kind{true, true}, scenario_kind{false, false},
          scenario_kind{true, true, true, true}, scenario_kind{false, false, true, true}}) {
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

// Shows that the property test detects members that know nothing of a restore.
TEST_CASE("without the era of the store two members hold a lease", "[lease][mutation]") {
    for (const scenario_kind kind :
         {scenario_kind{true, true, true, true}, scenario_kind{false, false, true, true}}) {
        CHECK(finds_violation(kind, coordination::standard_lease_rules(), true));
    }
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

// Guards against a wait for the lease of an earlier process when there is none.
TEST_CASE("a lease is taken without delay at the first start", "[lease][restore]") {
    lease_simulation simulation(true);
    const bool states_era = GENERATE(false, true);
    if (states_era) {
        simulation.restore_store();
        simulation.is_first_start = true;
        simulation.restart(0);
    }
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::holding);
    CHECK(simulation.check_order(0));
}

// Guards against a member that takes an absent row while the holder that the store has lost still
// sends orders, and against one that waits longer.
TEST_CASE("the lease of a lost row is taken once it has ended", "[lease][restore]") {
    lease_simulation simulation(false);
    simulation.maintain(0);
    simulation.restore_store();
    const bool starts_after_restore = GENERATE(false, true);
    if (starts_after_restore) {
        simulation.restart(1);
    }
    check_lost_lease(simulation, 1);
}

// Guards against a member that takes a released row of the copy while the holder that acquired it
// since then still sends orders.
TEST_CASE("a released row of a copy is not free", "[lease][restore]") {
    lease_simulation simulation(false);
    simulation.maintain(0);
    simulation.maintain(0, false);
    simulation.copy_store();
    simulation.maintain(1);
    REQUIRE(simulation.phase(1) == lease_phase::holding);
    simulation.restore_store();
    simulation.restart(2);
    check_lost_lease(simulation, 2);
}

// Guards against a wait for a lost lease by each host that starts after a restore.
TEST_CASE("a lease that was released since the restore is free", "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    simulation.restore_store();
    take_over(simulation, 1);
    simulation.maintain(1, false);
    simulation.restart(2);
    simulation.maintain(2);
    CHECK(simulation.phase(2) == lease_phase::holding);
}

// Guards against a fencing number, which is also an epoch of groups, that comes twice.
TEST_CASE("fencing numbers of a new era are above all numbers that were given out",
          "[lease][restore]") {
    lease_simulation simulation(true);
    for (int era = 0; era < 3; ++era) {
        for (std::size_t member = 0; member < lease_simulation::member_count; ++member) {
            const auto before = simulation.highest_acquired();
            take_over(simulation, member);
            CHECK(simulation.highest_acquired() > before);
            simulation.maintain(member, false);
        }
        simulation.restore_store();
    }
    CHECK(simulation.violations.empty());
}

// Guards against a lease that is kept, or taken from its holder, by a version that was given out
// again.
TEST_CASE("a renewal on a version that was given out again fails", "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    const auto row = [&] { return simulation.platform.store().read_row("lease/d").value(); };
    const auto version = row().version;
    simulation.restore_store();
    take_over(simulation, 1);
    REQUIRE(row().version == version);
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::observing);
    CHECK(simulation.holders() == 1);
    simulation.maintain(1);
    CHECK(simulation.phase(1) == lease_phase::holding);
}

// Guards against an acquisition that depends on a version of an earlier era and is sent again.
TEST_CASE("a write without a reply is not repeated after a restore", "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.platform.delay_next_transactions = 1;
    simulation.maintain(0);
    REQUIRE(simulation.phase(0) == lease_phase::acquiring);
    simulation.restore_store();
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::observing);
    CHECK(simulation.platform.transactions == 1);
}

// Guards against an acquisition that is believed although the store may have lost a later one.
TEST_CASE("a result that a copy contains is not believed after a restore", "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.platform.lose_next_replies = 1;
    simulation.maintain(0);
    simulation.copy_store();
    simulation.restore_store();
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::observing);
}

// Guards against an acquisition that is believed although the store was restored on its way.
TEST_CASE("an acquisition that arrives after a restore gives no lease", "[lease][restore]") {
    lease_simulation simulation(false);
    simulation.restore_store(0, lease_simulation::restore_time::before_next_transaction);
    simulation.maintain(0);
    CHECK(simulation.phase(0) == lease_phase::observing);
    simulation.restart(1);
    check_lost_lease(simulation, 1);
}

// Guards against a second holder beside one whose acquisition was confirmed and then lost.
TEST_CASE("an acquisition that is lost before its reply arrives ends in time", "[lease][restore]") {
    lease_simulation simulation(false);
    simulation.restore_store(0, lease_simulation::restore_time::after_next_transaction);
    simulation.maintain(0);
    CHECK(simulation.check_order(0));
    check_lost_lease(simulation, 1);
}

// Guards against a release of an earlier era that frees the lease of the present holder.
TEST_CASE("a late release of an earlier era does not free the lease", "[lease][restore]") {
    lease_simulation simulation(false);
    simulation.maintain(0);
    simulation.platform.delay_next_transactions = 1;
    simulation.maintain(0, false);
    simulation.restore_store();
    simulation.maintain(2);
    take_over(simulation, 1);
    simulation.platform.apply_delayed();
    simulation.maintain(2);
    CHECK(simulation.phase(2) == lease_phase::observing);
    CHECK(simulation.holders() == 1);
    CHECK(simulation.violations.empty());
}

// Guards against a renewal of an earlier era after which fencing numbers are given out again.
TEST_CASE("a late renewal of an earlier era does not lower the fencing number",
          "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    simulation.now += simulation.settings.renew_interval;
    simulation.platform.delay_next_transactions = 1;
    simulation.maintain(0);
    simulation.restore_store();
    take_over(simulation, 1);
    simulation.platform.apply_delayed();
    simulation.maintain(1);
    take_over(simulation, 2);
    CHECK(simulation.violations.empty());
}

// Guards against a holder's write that passes its check on a version that was given out again.
TEST_CASE("a late write of a holder of an earlier era is refused", "[lease][restore]") {
    lease_simulation simulation(true);
    simulation.maintain(0);
    simulation.prepare_write(0);
    simulation.restore_store();
    take_over(simulation, 1);
    simulation.prepare_write(1);
    simulation.send_write(1);
    simulation.send_write(0);
    CHECK(simulation.violations.empty());
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
