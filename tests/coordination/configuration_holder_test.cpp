// Tests of submissions, conflicts, lost replies and the rule that decides whether a member serves.
#include "savoryrelay/coordination/configuration/configuration_holder.h"
#include "savoryrelay/coordination/membership/membership.h"
#include "support/fault_matrix.h"
#include "support/faulty_platform.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using namespace std::chrono_literals;
using coordination::configuration_holder;
using coordination::service_state;
using state::failure_kind;

namespace {

const state::time_point start{};

/// A holder with a faulty platform. The fields replace the answers of the membership.
struct holder_fixture {
    tests::faulty_platform& platform;
    std::size_t listed = 3;
    std::size_t acknowledged = 3;
    std::optional<state::time_point> majority_contact_at = start;
    state::peer_state peer;
    configuration_holder holder;

    holder_fixture(tests::faulty_platform& store, const std::string& name)
        : platform(store), holder(name, {}, hooks()) {}

    coordination::configuration_hooks hooks() {
        coordination::configuration_hooks made;
        made.platform = platform.hooks();
        made.parse = [](const std::string& text,
                        std::uint64_t revision) -> state::result<state::configuration> {
            if (text == "broken") {
                return state::fail(failure_kind::invalid_configuration, "broken");
            }
            state::configuration parsed;
            parsed.revision = revision;
            return parsed;
        };
        made.fetch_from_peer = [this](auto) -> state::result<state::peer_state> { return peer; };
        made.last_contact_with = [this](auto, auto) { return majority_contact_at; };
        made.listed_count = [this] { return listed; };
        made.count_acknowledgements = [this](auto) { return acknowledged; };
        return made;
    }

    state::attempt<std::uint64_t> submit(const std::string& operator_name, std::uint64_t expected,
                                         state::milliseconds wait = 0ms) {
        const coordination::configuration_submission submission{
            "document of " + operator_name, operator_name, state::wall_time(5ms), expected};
        return state::collect([&]() -> state::result<std::uint64_t> {
            BOOST_LEAF_AUTO(announcement, holder.announce(submission, start));
            return holder.submit(submission, announcement, start + wait);
        });
    }
};

} // namespace

// Guards against a lost update between two operators, a conflict that does not name the operator
// whose submission was accepted, and a history without operator and time.
TEST_CASE("of two concurrent submissions one is accepted and its operator is named to the other",
          "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    holder_fixture two(platform, "two");
    bool raced = false;
    platform.before_transact = [&] {
        if (!std::exchange(raced, true)) {
            CHECK(two.submit("bola", 0).value() == 1);
        }
    };
    const auto refused = one.submit("amina", 0);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == failure_kind::revision_conflict);
    CHECK(refused.error().detail.find("'bola'") != std::string::npos);
    CHECK(one.submit("amina", 0).error().kind == failure_kind::revision_conflict);
    const auto history = state::collect([&] { return one.holder.read_history(1); });
    CHECK(history.value().operator_name == "bola");
    CHECK(history.value().submitted_at == state::wall_time(5ms));
    CHECK(history.value().document == "document of bola");
    CHECK_FALSE(state::collect([&] { return one.holder.read_history(2); }));
}

// Guards against a change that is reported as failed although it took effect, and against one that
// is reported as accepted although its result is unknown.
TEST_CASE("a submission whose reply is lost is read back by its write key", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    platform.lose_next_replies = 1;
    CHECK(one.submit("amina", 0).value() == 1);
    const auto in_force = one.holder.current();
    CHECK(in_force->revision == 1);

    auto hooks = one.hooks();
    hooks.platform.transact = [](const auto&) -> state::result<state::transaction_result> {
        return state::fail(failure_kind::store_result_unknown, "reply lost");
    };
    configuration_holder unknown("unknown", {}, hooks);
    const coordination::configuration_submission submission{"d", "amina", {}, 1};
    const auto result = state::collect([&]() -> state::result<std::uint64_t> {
        BOOST_LEAF_AUTO(announcement, unknown.announce(submission, start));
        return unknown.submit(submission, announcement, start);
    });
    CHECK(result.error().kind == failure_kind::store_result_unknown);
    const auto held = unknown.current();
    CHECK(held->revision == 0);
}

// Guards against a change that is written with a minority of acknowledgements, long after its
// announcement, while the store is down, or although it is invalid.
TEST_CASE("a submission that must not be accepted is refused before any write", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    one.acknowledged = 1;
    CHECK(one.submit("amina", 0).error().kind == failure_kind::isolated);
    one.acknowledged = 2;
    CHECK(one.submit("amina", 0, 2'001ms).error().kind == failure_kind::deadline_exceeded);
    CHECK(one.submit("two\nlines", 0).error().kind == failure_kind::invalid_request);
    const coordination::configuration_submission broken{"broken", "amina", {}, 0};
    CHECK(state::collect([&] { return one.holder.announce(broken, start); }).error().kind ==
          failure_kind::invalid_configuration);
    platform.store_down = true;
    CHECK(one.submit("amina", 0).error().kind == failure_kind::store_unavailable);
    CHECK(platform.transactions == 0);
}

// Guards against a starting member that serves an old revision. Without the store it needs the
// replies of three peers, contact with a majority, and the highest revision it knows of.
TEST_CASE("a starting member waits for the highest revision it knows of", "[configuration]") {
    tests::faulty_platform platform;
    platform.store_down = true;
    holder_fixture one(platform, "one");
    one.listed = 9;
    const state::peer_state old{{}, {3, 3, 0}, "d"};
    for (int replies = 0; replies < 2; ++replies) {
        one.holder.merge_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::starting);
    }
    SECTION("all agree") {
        one.holder.merge_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::serving);
    }
    SECTION("without a majority") {
        one.majority_contact_at.reset();
        one.holder.merge_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::starting);
    }
    SECTION("one peer knows of a higher revision") {
        one.holder.merge_peer_state({{}, {3, 4, 0}, "d"}, start);
        CHECK(one.holder.service(start) == service_state::starting);
        one.peer = {{}, {4, 4, 0}, "d"};
        one.holder.poll(start);
        const auto in_force = one.holder.current();
        CHECK(in_force->revision == 4);
        CHECK(one.holder.service(start) == service_state::serving);
    }
}

// Guards against an announcement whose revision was never written and that stops members from
// serving at each later store outage, and against one that ends without a read of the store.
TEST_CASE("an announcement ends only by a read of the store after its expiry", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    one.holder.poll(start);
    CHECK_FALSE(one.holder.merge_revisions({0, 0, state::make_announcement(1, 0)}, start));
    const bool reads_after_expiry = GENERATE(false, true);
    if (reads_after_expiry) {
        one.holder.poll(start + 31s);
    }
    platform.store_down = true;
    const auto later = start + 60s;
    one.majority_contact_at = later;
    one.holder.poll(later);
    CHECK(one.holder.service(later) ==
          (reads_after_expiry ? service_state::serving : service_state::behind));
}

// Tests the rule just below and just above each limit.
TEST_CASE("the rule that decides whether a member serves", "[configuration]") {
    using coordination::eligibility_facts;
    struct row {
        std::string name;
        eligibility_facts facts;
        service_state expected;
    };
    const auto now = start + 100s;
    const auto ago = [&](state::milliseconds age) { return std::optional(now - age); };
    const std::optional<state::time_point> none;
    const std::vector<row> rows{
        {"nothing known", {}, service_state::starting},
        {"store", {true, false, ago(4s), none, none, none}, service_state::serving},
        {"store lost", {true, false, ago(4'001ms), none, none, none}, service_state::isolated},
        {"majority", {true, false, none, ago(4s), none, none}, service_state::serving},
        {"majority lost", {true, false, none, ago(4'001ms), none, none}, service_state::isolated},
        {"briefly behind", {true, false, ago(0s), none, ago(2s), none}, service_state::serving},
        {"behind", {true, false, ago(0s), none, ago(2'001ms), none}, service_state::behind},
        {"behind, isolated", {true, true, ago(0s), none, ago(0s), none}, service_state::behind},
        {"announced", {true, false, none, ago(0s), none, ago(2'001ms)}, service_state::behind},
        {"announced, store", {true, false, ago(0s), none, none, ago(9s)}, service_state::serving},
        {"announced, isolated", {true, true, none, ago(0s), none, ago(0s)}, service_state::behind},
    };
    for (const auto& each : rows) {
        INFO(each.name);
        CHECK(coordination::decide_service(each.facts, {}, now) == each.expected);
    }
    coordination::eligibility_settings single;
    single.single_entry_host = true;
    CHECK(coordination::decide_service({true, {}, {}, {}, {}, {}}, single, now) ==
          service_state::serving);
    // The members that acknowledged an announcement and any majority have a member in common.
    for (std::size_t listed = 1; listed < 400; ++listed) {
        CHECK(coordination::acknowledgements_needed(listed) +
                  coordination::majority_needed(listed) >
              listed);
    }
}

// Guards against settings that cannot keep the limit of 6 s, or with which probes cannot be
// answered in time or are not sent.
TEST_CASE("settings that cannot work are refused", "[configuration][membership]") {
    const auto accepts = [](const auto& settings) {
        return state::collect([&] { return coordination::check_settings(settings); }).has_value();
    };
    coordination::configuration_settings holder;
    CHECK(accepts(holder));
    holder.eligibility.isolation_limit = 4'001ms;
    CHECK_FALSE(accepts(holder));
    holder = {};
    holder.poll_period = 0ms;
    CHECK_FALSE(accepts(holder));
    coordination::membership_settings probing;
    CHECK(accepts(probing));
    probing.probe_timeout = probing.probe_period;
    CHECK_FALSE(accepts(probing));
    probing = {};
    probing.sparse_probes = 0;
    CHECK_FALSE(accepts(probing));
}
