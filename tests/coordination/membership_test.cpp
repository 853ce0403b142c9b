// Tests of the membership and of the distribution of configurations among several members under
// message loss, delay, partitions, pauses and restarts.
#include "support/fault_matrix.h"
#include "support/member_cluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using namespace std::chrono_literals;
using state::member_state;
using tests::cluster_options;
using tests::member_cluster;

namespace {

/// Time within which the members must agree after a partition heals: each member probes one of up
/// to 8 lost members per period, and messages may be lost.
constexpr auto heal_time = 30s;

cluster_options lossy_options(std::uint64_t seed, double loss = 0.1) {
    cluster_options options;
    options.seed = seed;
    options.loss = loss;
    options.duplication = 0.1;
    options.max_delay = 120ms;
    return options;
}

/// Separates members 0..3 from the others for 15 s, then heals the partition and restarts member 8.
/// Returns whether all members see each other as alive within `heal_time`.
bool recovers_from_partition(cluster_options options, bool one_way) {
    member_cluster cluster(std::move(options));
    cluster.run(5s);
    cluster.is_cut = [&](auto from, auto to) {
        return (from < 4) != (to < 4) && (!one_way || from < 4);
    };
    cluster.run(15s);
    cluster.is_cut = [](auto, auto) { return false; };
    cluster.start(8);
    for (auto waited = 0s; waited < heal_time && !cluster.agrees(); waited += 1s) {
        cluster.run(1s);
    }
    return cluster.agrees();
}

/// Stops member 2. Returns whether all others see it as dead after `limit`.
bool detects_dead_member(cluster_options options, state::milliseconds limit) {
    member_cluster cluster(std::move(options));
    cluster.run(5s);
    cluster.nodes[2].running = false;
    cluster.run(limit);
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
        if (i != 2 && !cluster.sees(i, 2, member_state::dead)) {
            return false;
        }
    }
    return true;
}

/// Submits a revision while a third of the members cannot reach the store. Returns whether it is in
/// force at all members after 6 s.
bool is_distributed_in_time(cluster_options options) {
    member_cluster cluster(std::move(options));
    for (std::size_t i = 6; i < 9; ++i) {
        cluster.nodes[i].reaches_store = false;
    }
    cluster.run(5s);
    if (!cluster.submit(0).empty()) {
        return false;
    }
    cluster.run(6s);
    return std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [](const auto& node) {
        const auto current = node.holder->current();
        return current->revision == 1;
    });
}

/// Injects random faults and submits revisions in between. The faults are partitions in one or both
/// directions, store outages of some members, pauses and restarts.
member_cluster& run_faults(member_cluster& cluster, std::mt19937_64& random) {
    cluster.run(5s);
    [[maybe_unused]] const auto first = cluster.submit(0);
    for (int round = 0; round < 4; ++round) {
        const auto side = random();
        const auto direction = random() % 3;
        const auto store_access = random() | random();
        cluster.is_cut = [=](auto from, auto to) {
            const bool from_in = ((side >> from) & 1U) != 0;
            const bool to_in = ((side >> to) & 1U) != 0;
            return from_in != to_in && (direction == 2 || from_in == (direction == 0));
        };
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
            cluster.nodes[i].reaches_store = ((store_access >> i) & 1U) != 0;
        }
        const auto paused_index = random() % cluster.nodes.size();
        cluster.nodes[paused_index].paused = true;
        cluster.run(state::milliseconds(random() % 4'000));
        [[maybe_unused]] const auto first_of_round =
            cluster.submit((paused_index + 1) % cluster.nodes.size());
        cluster.run(state::milliseconds(random() % 2'000));
        [[maybe_unused]] const auto second =
            cluster.submit((paused_index + 2) % cluster.nodes.size());
        cluster.run(state::milliseconds(random() % 9'000));
        cluster.nodes[paused_index].paused = false;
        if (random() % 2 == 0) {
            cluster.start(random() % cluster.nodes.size());
        }
        cluster.run(state::milliseconds(random() % 3'000));
        if (random() % 2 == 0) {
            cluster.is_cut = [](auto, auto) { return false; };
        }
    }
    cluster.run(8s);
    return cluster;
}

/// Returns whether `violates` is true for at least one of 40 seeds.
template <typename Violates>
bool is_violated_for_some_seed(Violates violates) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        if (violates(seed)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a live member that stays recorded as dead after message loss, a healed partition
// or a restart.
TEST_CASE("a live member is not recorded as dead after a partition heals", "[membership]") {
    CHECK(rc::check("after a partition", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(recovers_from_partition(lossy_options(seed), seed % 2 == 0));
    }));
}

TEST_CASE("without incarnation numbers a live member stays recorded as dead",
          "[membership][naive]") {
    CHECK(is_violated_for_some_seed([](auto seed) {
        auto options = lossy_options(seed);
        options.overrides = [](const auto& update, auto, auto known) {
            return update.state > known;
        };
        return !recovers_from_partition(options, false);
    }));
}

// Guards against a dead member that keeps receiving work. The limit allows 1 period until the
// probe, 1 until the suspicion, 2 s of suspicion, and some spare time for message loss.
TEST_CASE("a dead member is detected within 6 s", "[membership]") {
    CHECK(rc::check("under loss", [] {
        RC_ASSERT(detects_dead_member(lossy_options(*rc::gen::arbitrary<std::uint64_t>()), 6s));
    }));
}

TEST_CASE("without the precedence of states a dead member is not detected", "[membership][naive]") {
    CHECK(is_violated_for_some_seed([](auto seed) {
        auto options = lossy_options(seed);
        options.overrides = [](const auto& update, auto incarnation, auto) {
            return update.incarnation > incarnation;
        };
        return !detects_dead_member(options, 6s);
    }));
}

// Guards against an accepted configuration that reaches some member too late (first half of
// property P10).
TEST_CASE("an accepted configuration is in force within 6 s", "[configuration]") {
    CHECK(rc::check("at 9 members under loss", [] {
        RC_ASSERT(is_distributed_in_time(lossy_options(*rc::gen::arbitrary<std::uint64_t>())));
    }));
}

TEST_CASE("a member that ignores revisions from peers and cannot read the store misses a change",
          "[configuration][naive]") {
    CHECK(is_violated_for_some_seed([](auto seed) {
        auto options = lossy_options(seed);
        options.merges_peer_revisions = false;
        return !is_distributed_in_time(options);
    }));
}

// Guards against a member that returns to an older revision (second half of property P10) and
// against two sides of a partition that serve different revisions.
TEST_CASE("no member reverts to an older revision or serves one replaced over 6 s ago",
          "[configuration]") {
    std::size_t accepted = 0;
    CHECK(rc::check("under partitions, pauses, restarts and store outages", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        auto options = lossy_options(seed, 0.05);
        options.members = 2 + seed % 8;
        member_cluster cluster(options);
        run_faults(cluster, random);
        accepted += cluster.accepted_at.size();
        RC_ASSERT(!cluster.reverted);
        RC_ASSERT(!cluster.served_outdated);
    }));
    // Without accepted revisions the property would hold trivially.
    CHECK(accepted > 100);
}

TEST_CASE("naive rules revert to an older revision or serve an outdated one",
          "[configuration][naive]") {
    const auto run = [](std::uint64_t seed, auto change) {
        std::mt19937_64 random(seed);
        auto options = lossy_options(seed, 0.05);
        change(options);
        member_cluster cluster(options);
        run_faults(cluster, random);
        return std::pair(cluster.reverted, cluster.served_outdated);
    };
    CHECK(is_violated_for_some_seed([&](auto seed) {
        return run(seed, [](auto& options) { options.is_newer = [](auto, auto) { return true; }; })
            .first;
    }));
    CHECK(is_violated_for_some_seed([&](auto seed) {
        return run(seed,
                   [](auto& options) {
                       options.rule = [](const auto&, const auto&, auto) {
                           return coordination::service_state::serving;
                       };
                   })
            .second;
    }));
}

// Guards against a member that resumes after a pause and serves an old revision because it counts
// answers from before the pause.
TEST_CASE("a member that resumes after a pause does not count old answers", "[membership]") {
    member_cluster cluster(cluster_options{});
    cluster.run(5s);
    for (auto& node : cluster.nodes) {
        node.reaches_store = false;
    }
    cluster.run(5s);
    CHECK(cluster.serves(5)); // it has contact with all others
    const auto before = cluster.nodes[5].membership->last_contact_with(5, cluster.now);
    cluster.nodes[5].paused = true;
    cluster.run(10s);
    cluster.nodes[5].paused = false;
    cluster.is_cut = [](auto, auto to) { return to == 5; };
    cluster.run(1s);
    CHECK(cluster.nodes[5].membership->last_contact_with(5, cluster.now) <= before.value() + 1s);
    CHECK_FALSE(cluster.serves(5));
}

// Guards against a member that left without being recorded as left, against one that is removed
// while the platform lists it, and against an unlisted one that is never removed.
TEST_CASE("a member that leaves is recorded as left and later removed", "[membership]") {
    member_cluster cluster(cluster_options{});
    cluster.run(5s);
    std::mt19937_64 random(1);
    for (const auto& each : cluster.nodes[3].membership->leave(cluster.now, random)) {
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
            if (member_cluster::address_of(i) == each.to) {
                [[maybe_unused]] const auto answers =
                    cluster.nodes[i].membership->receive(each.message, cluster.now, random);
            }
        }
    }
    CHECK(cluster.sees(0, 3, member_state::left));
    cluster.nodes[3].running = false;
    cluster.run(62s);
    CHECK(cluster.sees(0, 3, member_state::left)); // the platform still lists it
    cluster.nodes[0].membership->set_listed({member_cluster::id_of(0)});
    cluster.run(1s);
    CHECK_FALSE(cluster.nodes[0].membership->find(member_cluster::id_of(3)).has_value());
}

// Guards against topic updates that are too long for a datagram, are reported twice, or replace a
// newer one.
TEST_CASE("a topic update is reported once per version", "[membership]") {
    std::map<std::string, int> seen;
    coordination::membership_hooks hooks;
    hooks.on_topic = [&](const auto& update) { ++seen[update.value]; };
    coordination::membership receiver({state::member_id("b"), {"10.0.0.2", 1}, 1, {}}, {}, {},
                                      hooks);
    state::peer_message message;
    message.from = state::member_id("a");
    message.members = {{message.from, {"10.0.0.1", 1}, 1, member_state::alive}};
    std::mt19937_64 random(1);
    for (const std::uint64_t version : {1U, 3U, 3U, 2U}) {
        message.topics = {
            {state::update_topic::endpoint_phase, "e", std::to_string(version), version}};
        [[maybe_unused]] const auto out = receiver.receive(message, state::time_point{}, random);
    }
    CHECK(seen == std::map<std::string, int>{{"1", 1}, {"3", 1}});
    const std::string long_text(state::max_topic_key_bytes + 1, 'x');
    CHECK_FALSE(receiver.publish_topic({state::update_topic::crash_fingerprint, long_text, "", 1}));
}

// Injects every fault at every change of a member's state. The running members must agree again
// afterwards.
TEST_CASE("fault matrix of member states", "[membership][matrix]") {
    using tests::cell_outcome;
    using tests::fault;
    tests::run_fault_matrix<member_state>("member", [](auto from, auto to, fault injected) {
        member_cluster cluster(cluster_options{});
        cluster.run(3s);
        const auto report = [&](member_state reported, std::uint64_t incarnation) {
            cluster.nodes[0].membership->merge(
                {{member_cluster::id_of(1), member_cluster::address_of(1), incarnation, reported}},
                cluster.now);
        };
        report(from, 100);
        report(to, 101);
        switch (injected) {
        case fault::process_killed:
            cluster.nodes[1].running = false;
            cluster.run(4s);
            cluster.start(1);
            break;
        case fault::process_paused:
        case fault::straggler:
            cluster.nodes[1].paused = true;
            cluster.run(injected == fault::straggler ? 500ms : 4s);
            cluster.nodes[1].paused = false;
            break;
        case fault::partition:
        case fault::fabric_domain_dark:
        case fault::one_way_partition:
            cluster.is_cut = [=](auto a, auto b) {
                return a == 1 || (b == 1 && injected != fault::one_way_partition);
            };
            cluster.run(5s);
            cluster.is_cut = [](auto, auto) { return false; };
            break;
        case fault::store_down:
            for (auto& node : cluster.nodes) {
                node.reaches_store = false;
            }
            break;
        default:
            return cell_outcome::unaffected;
        }
        cluster.run(15s);
        return cluster.agrees() ? cell_outcome::held : cell_outcome::violated;
    });
}
