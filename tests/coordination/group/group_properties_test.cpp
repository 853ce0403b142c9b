// Histories of two holders, faults and roll-outs over the fake platform.
#include "support/fault_matrix.h"
#include "support/group_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using tests::group_world;

namespace {

/// Adapts a naive variant of the world before the history starts.
using adapt_hook = std::function<void(group_world&)>;

std::set<std::string> run_history(const std::vector<tests::world_operation>& history,
                                  const coordination::group_decisions& decisions = {},
                                  const adapt_hook& adapt = nullptr, bool settle = true) {
    group_world world(decisions);
    if (adapt) {
        adapt(world);
    }
    world.submit("v1");
    for (int i = 0; i < 12; ++i) {
        tests::perform(world, {16, 5});
    }
    for (const auto& operation : history) {
        tests::perform(world, operation);
    }
    if (settle && !world.settle()) {
        world.violations.insert("roll-out did not end");
    }
    return world.violations;
}

/// True when one of 300 seeded histories breaks `promise`.
bool breaks(const std::string& promise, const coordination::group_decisions& decisions,
            const adapt_hook& adapt = nullptr, bool settle = false) {
    std::mt19937 random(20261204);
    for (int i = 0; i < 300; ++i) {
        std::vector<tests::world_operation> history(80);
        for (auto& operation : history) {
            operation = {static_cast<int>(random() % tests::world_operations),
                         static_cast<int>(random() % 60)};
        }
        if (run_history(history, decisions, adapt, settle).contains(promise)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a partial group that is routed to, a host in two groups, a
// budget that is exceeded, a roll-out without end and a group in a drained
// zone, with two holders, kills, lost replies and lost hosts.
TEST_CASE("promises of groups hold in random histories", "[group][property]") {
    CHECK(rc::check("group promises", [] {
        const auto history = *rc::gen::container<std::vector<tests::world_operation>>(
            rc::gen::pair(rc::gen::inRange(0, tests::world_operations), rc::gen::inRange(0, 60)));
        const auto violations = run_history(history);
        for (const auto& violation : violations) {
            RC_LOG() << violation << '\n';
        }
        RC_ASSERT(violations.empty());
    }));
}

// Guards against the property above missing faults that short histories do not reach.
TEST_CASE("promises of groups hold in long histories", "[group][property]") {
    for (const std::string promise :
         {"partial group eligible", "host in two groups", "surge exceeded",
          "unavailability exceeded", "roll-out did not end", "new group in a drained zone"}) {
        INFO(promise);
        CHECK_FALSE(breaks(promise, {}, nullptr, true));
    }
}

// Guards against properties that cannot fail: each mechanism is disabled once.
TEST_CASE("each promise breaks without its mechanism", "[group][naive]") {
    SECTION("completeness from the table row alone") {
        coordination::group_decisions naive;
        naive.complete = [](const auto& group, const auto&, auto, auto) {
            return group.state == state::group_state::serving ||
                   group.state == state::group_state::loading;
        };
        CHECK(breaks("partial group eligible", naive));
    }
    SECTION("transactions without checks") {
        CHECK(breaks("host in two groups", {},
                     [](group_world& world) { world.ignore_checks = true; }));
    }
    SECTION("evaluator that replaces everything at once") {
        coordination::group_decisions naive;
        naive.rollout = [](const coordination::rollout_view& view,
                           coordination::rollout_settings settings, state::time_point now) {
            settings.max_surge = settings.max_unavailable = settings.desired;
            return coordination::evaluate_rollout(view, settings, now);
        };
        CHECK(breaks("surge exceeded", naive));
        CHECK(breaks("unavailability exceeded", naive));
    }
    SECTION("evaluator that never turns back") {
        coordination::group_decisions naive;
        naive.rollout = [](coordination::rollout_view view,
                           const coordination::rollout_settings& settings, state::time_point now) {
            view.rollout.failed_groups = 0;
            view.last_progress = now;
            return coordination::evaluate_rollout(view, settings, now);
        };
        CHECK(breaks("roll-out did not end", naive, nullptr, true));
    }
    SECTION("placement that ignores drained zones") {
        coordination::group_decisions naive;
        naive.plan = [](coordination::placement_request request) {
            request.drained_zones.clear();
            return coordination::plan_groups(request);
        };
        CHECK(breaks("new group in a drained zone", naive));
    }
}

// Guards against a holder that lost its lease between reading and writing: its
// successor chose other hosts, so that only the lease row tells them apart.
TEST_CASE("a former holder's write fails on the lease row", "[group][naive]") {
    for (const bool ignore_lease : {false, true}) {
        group_world world;
        world.ignore_lease = ignore_lease;
        world.submit("v1");
        REQUIRE(world.settle());
        world.submit("v2");
        world.platform.before_transact = [&world] {
            world.platform.before_transact = nullptr;
            world.take_lease(1);
            world.demand.drained_zones = {state::availability_zone_id("zb")};
            (void)world.step(1);
        };
        (void)world.step(0);
        CHECK(world.violations.contains("surge exceeded") == ignore_lease);
    }
}

// Guards against an engine that obeys an old holder when it checks the number,
// and against a group that stays broken after a late order when it does not.
TEST_CASE("a late order never leaves a partial group serving", "[group]") {
    for (const bool fence : {true, false}) {
        group_world world;
        world.engines_fence = fence;
        world.submit("v1");
        REQUIRE(world.settle());
        // A host is lost and replaced, so that recorded orders name an old generation.
        world.lose(world.groups().front().hosts.front());
        REQUIRE(world.settle(1));
        world.deliver_late(0);
        world.tick(std::chrono::seconds(1));
        CHECK(world.eligible_count() == (fence ? 3U : 2U));
        CHECK(world.settle());
        CHECK(world.violations.empty());
    }
}

// Guards against orders sent, or replies accepted, after the lease may have ended.
TEST_CASE("orders are sent only inside the lease", "[group]") {
    group_world world;
    std::uint32_t sent = 0;
    coordination::group_engine_hooks engines;
    engines.read_reports = [&] { return world.reports; };
    engines.send_order = [&](const auto&) {
        ++sent;
        return coordination::order_reply{coordination::order_outcome::accepted,
                                         world.now + std::chrono::seconds(3)};
    };
    state::group_row group;
    group.id = state::group_id("g");
    group.deployment = world.demand.deployment;
    group.hosts = {state::host_id("h00")};
    coordination::group_codec codec;
    codec.write_group = [](const auto&) { return "g"; };
    codec.read_group = [&](const auto&) -> state::result<state::group_row> { return group; };
    (void)state::collect([&] {
        return world.platform.store().transact(
            {"w", {}, {{"group/g", "g"}, {"host/h00", "h"}}, {}});
    });
    coordination::group_controller controller(world.platform.hooks(), codec, engines, {}, {});
    coordination::lease_proof lease{1, "lease/d", 1, world.now + std::chrono::milliseconds(2'499)};
    const auto step = [&] {
        return state::collect([&] { return controller.step(lease, world.demand, world.now); });
    };
    CHECK(step().error().kind == state::failure_kind::lease_not_held);
    CHECK(sent == 0);
    lease.valid_until += std::chrono::milliseconds(1);
    CHECK(step().error().kind == state::failure_kind::lease_not_held); // reply after the end
    CHECK(sent == 1);
    lease.valid_until += std::chrono::seconds(1);
    CHECK(step().has_value());
}

// Guards against a write that is repeated under another key after a lost reply.
TEST_CASE("a lost reply is read back and the write happens once", "[group]") {
    group_world world;
    world.submit("v1");
    world.platform.lose_next_replies = 1;
    const auto summary = world.step();
    REQUIRE(summary);
    CHECK(summary.value().committed == 3); // the lost one counts by its read-back
    CHECK(world.groups().size() == 3);

    // The read-back fails too: nothing else is written until it is settled.
    group_world other;
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
    CHECK(other.settle());
    CHECK(other.violations.empty());
}

// Guards against settings under which groups never form, serve or are repaired.
TEST_CASE("group settings that cannot progress are rejected", "[group]") {
    const auto rejected = [](coordination::group_settings settings, std::uint32_t hosts = 4) {
        coordination::deployment_demand demand;
        demand.hosts_per_group = hosts;
        const auto checked =
            state::collect([&] { return coordination::check_group_settings(settings, demand); });
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

/// Starts `fault` in the world. Returns false when it has no interface to groups.
bool inject(group_world& world, fault kind) {
    switch (kind) {
    case fault::process_killed:
        world.kill_after = 2;
        return true;
    case fault::process_paused:
    case fault::operators_race:
        world.platform.before_transact = [&world] {
            world.platform.before_transact = nullptr;
            world.take_lease(1);
            (void)world.step(1);
        };
        return true;
    case fault::straggler:
        world.load_time = std::chrono::seconds(90);
        return true;
    case fault::fabric_domain_dark: {
        // Another domain than that of the group which makes the step.
        const auto rows = world.groups();
        for (const auto& row : rows) {
            if (row.fabric_domain != rows.front().fabric_domain) {
                world.set_domain(static_cast<std::uint32_t>(row.fabric_domain.value().back() - '0'),
                                 false);
                break;
            }
        }
        return true;
    }
    case fault::partition:
        world.platform.store_down = world.lose_orders = true;
        return true;
    case fault::one_way_partition:
        world.lose_order_replies = true;
        return true;
    case fault::cold_again:
        for (auto& [host, engine] : world.engines) {
            engine.loaded_at = world.now + std::chrono::seconds(20);
        }
        return true;
    case fault::store_down:
        world.platform.store_down = true;
        return true;
    case fault::store_slow:
        world.platform.before_transact = [&world] { world.now += std::chrono::seconds(3); };
        return true;
    case fault::store_reply_lost:
        world.platform.lose_next_replies = 2;
        return true;
    case fault::connection_silent:
        world.lose_orders = true;
        return true;
    case fault::answer_late:
        world.deliver_late(0);
        return true;
    case fault::object_store_down: // groups use no objects
    case fault::answer_crossed:    // no request passes through here
        break;
    }
    return false;
}

/// Brings about the step `from` -> `to`, and runs `kind` while it happens.
template <typename Enum>
cell_outcome run_cell(Enum from, Enum to, fault kind, const adapt_hook& stimulate,
                      const std::function<bool(group_world&)>& is_from,
                      const std::function<bool(group_world&)>& has_stepped) {
    group_world world;
    world.submit("v1");
    if (from != Enum{}) { // the first state is reached by submitting alone
        for (int i = 0; i < 60 && !is_from(world); ++i) {
            world.tick(std::chrono::seconds(4));
            (void)world.step();
        }
    } else {
        (void)world.step();
    }
    stimulate(world);
    if (!inject(world, kind)) {
        return cell_outcome::unaffected;
    }
    for (int i = 0; i < 20; ++i) {
        world.tick(std::chrono::seconds(4));
        (void)world.step();
        if (i == 8) {
            world.clear_faults();
        }
    }
    const bool ended = world.settle();
    const bool reached = has_stepped(world);
    if (!reached) {
        std::cout << "step not reached: " << state::to_name(from) << " -> " << state::to_name(to)
                  << " under " << state::to_name(kind) << '\n';
    }
    return ended && reached && world.violations.empty() ? cell_outcome::held
                                                        : cell_outcome::violated;
}

} // namespace

// Guards against a fault at one step of a group's life that breaks a promise
// or keeps the deployment from its groups.
TEST_CASE("fault matrix of a group", "[group][matrix]") {
    using s = state::group_state;
    tests::run_fault_matrix<s>("group", [](s from, s to, fault kind) {
        const auto stimulate = [from, to](group_world& world) {
            const bool departs = from == s::forming || from == s::loading || from == s::serving;
            if (departs && (to == s::forming || to == s::dissolving)) {
                if (to == s::dissolving) {
                    // The host loss decision prefers spares; here the group must go.
                    for (auto i : {0U, 1U, 2U, 3U}) {
                        world.set_domain(i, i == 3);
                    }
                    world.bad_version = "v1";
                    world.demand.rollout.load_deadline = std::chrono::seconds(20);
                    world.demand.rollout.max_failures = 1;
                } else {
                    const auto groups = world.groups();
                    world.lose(groups.front().hosts.front());
                }
            }
            const bool replaced = from == s::serving && to != s::forming;
            if (replaced || from == s::draining || from == s::dissolving) {
                world.submit("v2");
            }
        };
        const auto is_from = [from](group_world& world) {
            const auto rows = world.groups();
            const auto wanted = from == s::draining || from == s::dissolving ? s::serving : from;
            return std::any_of(rows.begin(), rows.end(),
                               [&](const auto& row) { return row.state == wanted; });
        };
        return run_cell<s>(from, to, kind, stimulate, is_from, [from, to](group_world& world) {
            return world.steps.contains({from, to});
        });
    });
}

// Guards against a fault at one step of a roll-out that breaks the budget or
// keeps the roll-out from its end.
TEST_CASE("fault matrix of a roll-out", "[rollout][matrix]") {
    using s = state::rollout_state;
    tests::run_fault_matrix<s>("roll-out", [](s from, s to, fault kind) {
        const auto stimulate = [from, to](group_world& world) {
            if (from == s::completed || from == s::rolled_back || from == s::rolling_back) {
                world.submit(from == s::completed ? "v2" : "bad");
            }
            if (from == s::rolling_back || from == s::rolled_back) {
                while (world.rollout().state == s::progressing) {
                    world.tick(std::chrono::seconds(4));
                    (void)world.step();
                }
                if (from == s::rolled_back) {
                    (void)world.settle();
                }
                if (to == s::progressing) {
                    world.submit("v3");
                }
            }
            if (from == s::progressing && to == s::rolling_back) {
                world.bad_version = "v1";
                world.demand.rollout.max_failures = 1;
            }
        };
        const auto is_from = [](group_world& world) { return world.has_ended(); };
        return run_cell<s>(from, to, kind, stimulate, is_from, [from, to](group_world& world) {
            return world.rollout_steps.contains({from, to});
        });
    });
}
