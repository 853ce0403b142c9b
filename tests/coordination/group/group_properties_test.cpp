// Properties of the group controller over random histories of two lease holders, faults
// and roll-outs on the fake platform, and the fault matrices of groups and roll-outs.
#include "support/fault_matrix.h"
#include "support/group_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using tests::group_simulation;

namespace {

/// Turns the simulation into a naive variant before the history starts.
using configure_hook = std::function<void(group_simulation&)>;

std::set<std::string> run_history(const std::vector<tests::simulation_operation>& history,
                                  const coordination::group_decision_hooks& decisions = {},
                                  const configure_hook& configure = nullptr,
                                  bool run_to_end = true) {
    group_simulation simulation(decisions);
    if (configure) {
        configure(simulation);
    }
    simulation.submit("v1");
    for (int i = 0; i < 12; ++i) {
        tests::perform(simulation, {16, 5});
    }
    for (const auto& operation : history) {
        tests::perform(simulation, operation);
    }
    if (run_to_end && !simulation.run_to_end()) {
        simulation.violations.insert("roll-out did not end");
    }
    return simulation.violations;
}

/// Returns true when one of 300 seeded histories violates `invariant`.
bool violates(const std::string& invariant, const coordination::group_decision_hooks& decisions,
              const configure_hook& configure = nullptr, bool run_to_end = false) {
    std::mt19937 random(20261204);
    for (int i = 0; i < 300; ++i) {
        std::vector<tests::simulation_operation> history(80);
        for (auto& operation : history) {
            operation = {static_cast<int>(random() % tests::operation_kind_count),
                         static_cast<int>(random() % 60)};
        }
        if (run_history(history, decisions, configure, run_to_end).contains(invariant)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against requests to a partial group, a host in two groups, an exceeded budget,
// a roll-out that never ends and a new group in a drained zone. The histories contain two
// lease holders, killed processes, lost replies and lost hosts.
TEST_CASE("group invariants hold in random histories", "[group][property]") {
    CHECK(rc::check("group invariants", [] {
        const auto history =
            *rc::gen::container<std::vector<tests::simulation_operation>>(rc::gen::pair(
                rc::gen::inRange(0, tests::operation_kind_count), rc::gen::inRange(0, 60)));
        const auto violations = run_history(history);
        for (const auto& violation : violations) {
            RC_LOG() << violation << '\n';
        }
        RC_ASSERT(violations.empty());
    }));
}

// Guards against faults that the short histories of the property above do not reach.
TEST_CASE("group invariants hold in long histories", "[group][property]") {
    for (const std::string invariant :
         {"partial group eligible", "host in two groups", "surge exceeded",
          "unavailability exceeded", "roll-out did not end", "new group in a drained zone"}) {
        INFO(invariant);
        CHECK_FALSE(violates(invariant, {}, nullptr, true));
    }
}

// Guards against properties that cannot fail: each section disables one mechanism and
// expects the violation that it prevents.
TEST_CASE("each group invariant is violated without its mechanism", "[group][naive]") {
    SECTION("completeness from the table row alone") {
        coordination::group_decision_hooks naive;
        naive.complete = [](const auto& group, const auto&, auto, auto) {
            return group.state == state::group_state::serving ||
                   group.state == state::group_state::loading;
        };
        CHECK(violates("partial group eligible", naive));
    }
    SECTION("transactions without checks") {
        CHECK(violates("host in two groups", {},
                       [](group_simulation& simulation) { simulation.ignore_checks = true; }));
    }
    SECTION("evaluator that replaces everything at once") {
        coordination::group_decision_hooks naive;
        naive.rollout = [](const coordination::rollout_view& view,
                           coordination::rollout_settings settings, state::time_point now) {
            settings.max_surge = settings.max_unavailable = settings.desired;
            return coordination::evaluate_rollout(view, settings, now);
        };
        CHECK(violates("surge exceeded", naive));
        CHECK(violates("unavailability exceeded", naive));
    }
    SECTION("evaluator that never rolls back") {
        coordination::group_decision_hooks naive;
        naive.rollout = [](coordination::rollout_view view,
                           const coordination::rollout_settings& settings, state::time_point now) {
            view.rollout.failed_groups = 0;
            view.last_progress = now;
            return coordination::evaluate_rollout(view, settings, now);
        };
        CHECK(violates("roll-out did not end", naive, nullptr, true));
    }
    SECTION("placement that ignores drained zones") {
        coordination::group_decision_hooks naive;
        naive.plan = [](coordination::placement_request request) {
            request.drained_zones.clear();
            return coordination::plan_groups(request);
        };
        CHECK(violates("new group in a drained zone", naive));
    }
}

// Guards against a write by a holder that lost its lease between reading and writing.
// Its successor chose other hosts, so only the check of the lease row detects the conflict.
TEST_CASE("a former holder's write fails at the check of the lease row", "[group][naive]") {
    for (const bool ignore_lease : {false, true}) {
        group_simulation simulation;
        simulation.ignore_lease = ignore_lease;
        simulation.submit("v1");
        REQUIRE(simulation.run_to_end());
        simulation.submit("v2");
        simulation.platform.before_transact = [&simulation] {
            simulation.platform.before_transact = nullptr;
            simulation.give_lease(1);
            simulation.spec.drained_zones = {state::availability_zone_id("zb")};
            (void)simulation.step(1);
        };
        (void)simulation.step(0);
        CHECK(simulation.violations.contains("surge exceeded") == ignore_lease);
    }
}

// Guards against an engine that checks fencing numbers but obeys a former holder, and
// against a group that stays incomplete after a late order to an engine that does not
// check them.
TEST_CASE("a late order never leaves a partial group serving", "[group]") {
    for (const bool check_fencing : {true, false}) {
        group_simulation simulation;
        simulation.engines_check_fencing = check_fencing;
        simulation.submit("v1");
        REQUIRE(simulation.run_to_end());
        // A host is lost and replaced, so the recorded orders name an old generation.
        simulation.lose(simulation.groups().front().hosts.front());
        REQUIRE(simulation.run_to_end(1));
        simulation.deliver_late(0);
        simulation.tick(std::chrono::seconds(1));
        CHECK(simulation.eligible_count() == (check_fencing ? 3U : 2U));
        CHECK(simulation.run_to_end());
        CHECK(simulation.violations.empty());
    }
}

// Guards against orders sent, or replies accepted, after the lease may have ended.
TEST_CASE("orders are sent only while the lease is valid", "[group]") {
    group_simulation simulation;
    std::uint32_t sent = 0;
    coordination::group_engine_hooks engines;
    engines.read_reports = [&] { return simulation.reports; };
    engines.send_order = [&](const auto&) {
        ++sent;
        return coordination::order_reply{coordination::order_outcome::accepted,
                                         simulation.now + std::chrono::seconds(3)};
    };
    state::group_row group;
    group.id = state::group_id("g");
    group.deployment = simulation.spec.deployment;
    group.hosts = {state::host_id("h00")};
    coordination::group_codec codec;
    codec.write_group = [](const auto&) { return "g"; };
    codec.read_group = [&](const auto&) -> state::result<state::group_row> { return group; };
    (void)state::collect([&] {
        return simulation.platform.store().transact(
            {"w", {}, {{"group/g", "g"}, {"host/h00", "h"}}, {}});
    });
    coordination::group_controller controller(simulation.platform.hooks(), codec, engines, {}, {});
    coordination::held_lease lease{1, "lease/d", 1,
                                   simulation.now + std::chrono::milliseconds(2'499)};
    const auto step = [&] {
        return state::collect(
            [&] { return controller.step(lease, simulation.spec, simulation.now); });
    };
    CHECK(step().error().kind == state::failure_kind::lease_not_held);
    CHECK(sent == 0);
    lease.valid_until += std::chrono::milliseconds(1);
    CHECK(step().error().kind == state::failure_kind::lease_not_held); // the reply arrives too late
    CHECK(sent == 1);
    lease.valid_until += std::chrono::seconds(1);
    CHECK(step().has_value());
}

// Guards against a write that is repeated under another key after a lost reply.
TEST_CASE("a write whose reply is lost is read back and happens once", "[group]") {
    group_simulation simulation;
    simulation.submit("v1");
    simulation.platform.lose_next_replies = 1;
    const auto summary = simulation.step();
    REQUIRE(summary);
    CHECK(summary.value().committed == 3); // includes the write that was read back
    CHECK(simulation.groups().size() == 3);

    // The read-back fails too: nothing else is written until the result is known.
    group_simulation other;
    other.submit("v1");
    other.platform.lose_next_replies = 1;
    other.down_after_write = true;
    const auto unknown = other.step();
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().kind == state::failure_kind::store_result_unknown);
    CHECK(other.groups().size() == 1);
    const auto written = other.platform.transactions;
    CHECK(other.step().error().kind == state::failure_kind::store_unavailable);
    CHECK(other.platform.transactions == written);
    other.platform.store_down = false;
    const auto settled = other.step();
    REQUIRE(settled);
    CHECK(settled.value().committed == 2);
    CHECK(other.groups().size() == 3);
    CHECK(other.run_to_end());
    CHECK(other.violations.empty());
}

// Guards against settings under which groups never form, serve or are repaired.
TEST_CASE("group settings that prevent progress are rejected", "[group]") {
    const auto rejected = [](coordination::group_settings settings, std::uint32_t hosts = 4) {
        coordination::deployment_spec spec;
        spec.hosts_per_group = hosts;
        const auto checked =
            state::collect([&] { return coordination::check_group_settings(settings, spec); });
        return !checked && checked.error().kind == state::failure_kind::invalid_settings;
    };
    using milliseconds = state::milliseconds;
    coordination::group_settings no_outages;
    no_outages.host_loss.outages.mean_failure = milliseconds(0);
    CHECK_FALSE(rejected({}));
    CHECK(rejected({}, 0));
    CHECK(rejected({}, 17));
    CHECK(rejected({.report_age = milliseconds(0)}));
    CHECK(rejected({.lost_after = milliseconds(5'000)}));
    CHECK(rejected({.order_timeout = milliseconds(0)}));
    CHECK(rejected(no_outages));
}

namespace {

using tests::cell_outcome;
using tests::fault;

/// Injects the fault `kind`. Returns false when the fault cannot affect groups.
bool inject(group_simulation& simulation, fault kind) {
    switch (kind) {
    case fault::process_killed:
        simulation.kill_after = 2;
        return true;
    case fault::process_paused:
    case fault::operators_race:
        simulation.platform.before_transact = [&simulation] {
            simulation.platform.before_transact = nullptr;
            simulation.give_lease(1);
            (void)simulation.step(1);
        };
        return true;
    case fault::straggler:
        simulation.load_time = std::chrono::seconds(90);
        return true;
    case fault::fabric_domain_dark: {
        // The first group makes the transition, so a domain of another group goes dark.
        const auto rows = simulation.groups();
        for (const auto& row : rows) {
            if (row.fabric_domain != rows.front().fabric_domain) {
                simulation.set_domain(
                    static_cast<std::uint32_t>(row.fabric_domain.value().back() - '0'), false);
                break;
            }
        }
        return true;
    }
    case fault::partition:
        simulation.platform.store_down = simulation.lose_orders = true;
        return true;
    case fault::one_way_partition:
        simulation.lose_order_replies = true;
        return true;
    case fault::cold_again:
        for (auto& [host, engine] : simulation.engines) {
            engine.loaded_at = simulation.now + std::chrono::seconds(20);
        }
        return true;
    case fault::store_down:
        simulation.platform.store_down = true;
        return true;
    case fault::store_slow:
        simulation.platform.before_transact = [&simulation] {
            simulation.now += std::chrono::seconds(3);
        };
        return true;
    case fault::store_reply_lost:
        simulation.platform.lose_next_replies = 2;
        return true;
    case fault::connection_silent:
        simulation.lose_orders = true;
        return true;
    case fault::answer_late:
        simulation.deliver_late(0);
        return true;
    case fault::object_store_down: // groups use no objects
    case fault::answer_crossed:    // no request passes through here
        break;
    }
    return false;
}

/// Causes the transition `from` -> `to` and injects the fault `kind` during it.
template <typename Enum>
cell_outcome run_cell(Enum from, Enum to, fault kind, const configure_hook& start_transition,
                      const std::function<bool(group_simulation&)>& is_in_start_state,
                      const std::function<bool(group_simulation&)>& has_transitioned) {
    group_simulation simulation;
    simulation.submit("v1");
    if (from != Enum{}) { // submitting alone reaches the initial state
        for (int i = 0; i < 60 && !is_in_start_state(simulation); ++i) {
            simulation.tick(std::chrono::seconds(4));
            (void)simulation.step();
        }
    } else {
        (void)simulation.step();
    }
    start_transition(simulation);
    if (!inject(simulation, kind)) {
        return cell_outcome::unaffected;
    }
    for (int i = 0; i < 20; ++i) {
        simulation.tick(std::chrono::seconds(4));
        (void)simulation.step();
        if (i == 8) {
            simulation.clear_faults();
        }
    }
    const bool ended = simulation.run_to_end();
    const bool reached = has_transitioned(simulation);
    if (!reached) {
        std::cout << "transition not reached: " << state::to_name(from) << " -> "
                  << state::to_name(to) << " under " << state::to_name(kind) << '\n';
    }
    return ended && reached && simulation.violations.empty() ? cell_outcome::held
                                                             : cell_outcome::violated;
}

} // namespace

// Guards against a fault during one state transition of a group that violates an
// invariant or keeps the deployment below its number of groups.
TEST_CASE("fault matrix of a group", "[group][matrix]") {
    using s = state::group_state;
    tests::run_fault_matrix<s>("group", [](s from, s to, fault kind) {
        const auto start_transition = [from, to](group_simulation& simulation) {
            const bool starts_active =
                from == s::forming || from == s::loading || from == s::serving;
            if (starts_active && (to == s::forming || to == s::dissolving)) {
                if (to == s::dissolving) {
                    // The host loss decision would replace a lost host by a spare. To make the
                    // group dissolve, three domains are lost and its version never loads.
                    for (auto i : {0U, 1U, 2U, 3U}) {
                        simulation.set_domain(i, i == 3);
                    }
                    simulation.bad_version = "v1";
                    simulation.spec.rollout.load_deadline = std::chrono::seconds(20);
                    simulation.spec.rollout.max_failures = 1;
                } else {
                    const auto groups = simulation.groups();
                    simulation.lose(groups.front().hosts.front());
                }
            }
            const bool replaced = from == s::serving && to != s::forming;
            if (replaced || from == s::draining || from == s::dissolving) {
                simulation.submit("v2");
            }
        };
        const auto is_in_start_state = [from](group_simulation& simulation) {
            const auto rows = simulation.groups();
            const auto wanted = from == s::draining || from == s::dissolving ? s::serving : from;
            return std::any_of(rows.begin(), rows.end(),
                               [&](const auto& row) { return row.state == wanted; });
        };
        return run_cell<s>(from, to, kind, start_transition, is_in_start_state,
                           [from, to](group_simulation& simulation) {
                               return simulation.group_transitions.contains({from, to});
                           });
    });
}

// Guards against a fault during one state transition of a roll-out that exceeds the
// budget or keeps the roll-out from ending.
TEST_CASE("fault matrix of a roll-out", "[rollout][matrix]") {
    using s = state::rollout_state;
    tests::run_fault_matrix<s>("roll-out", [](s from, s to, fault kind) {
        const auto start_transition = [from, to](group_simulation& simulation) {
            if (from == s::completed || from == s::rolled_back || from == s::rolling_back) {
                simulation.submit(from == s::completed ? "v2" : "bad");
            }
            if (from == s::rolling_back || from == s::rolled_back) {
                while (simulation.rollout().state == s::progressing) {
                    simulation.tick(std::chrono::seconds(4));
                    (void)simulation.step();
                }
                if (from == s::rolled_back) {
                    (void)simulation.run_to_end();
                }
                if (to == s::progressing) {
                    simulation.submit("v3");
                }
            }
            if (from == s::progressing && to == s::rolling_back) {
                simulation.bad_version = "v1";
                simulation.spec.rollout.max_failures = 1;
            }
        };
        const auto is_in_start_state = [](group_simulation& simulation) {
            return simulation.has_ended();
        };
        return run_cell<s>(from, to, kind, start_transition, is_in_start_state,
                           [from, to](group_simulation& simulation) {
                               return simulation.rollout_transitions.contains({from, to});
                           });
    });
}
