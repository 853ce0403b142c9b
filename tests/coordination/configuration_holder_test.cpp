// Submission, conflicts, lost replies and the rule for an isolated member.
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

/// A holder over a faulty platform, whose membership is given by numbers.
struct holder_fixture {
    tests::faulty_platform& platform;
    std::size_t listed = 3;
    std::size_t informed = 3;
    std::optional<state::time_point> heard_at = start;
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
        made.heard_since = [this](auto, auto) { return heard_at; };
        made.listed_count = [this] { return listed; };
        made.count_informed_of = [this](auto) { return informed; };
        return made;
    }

    state::attempt<std::uint64_t> submit(const std::string& by, std::uint64_t expected,
                                         state::milliseconds wait = 0ms) {
        const coordination::configuration_submission submission{"document of " + by, by,
                                                                state::wall_time(5ms), expected};
        return state::collect([&]() -> state::result<std::uint64_t> {
            BOOST_LEAF_AUTO(announcement, holder.announce(submission, start));
            return holder.submit(submission, announcement, start + wait);
        });
    }
};

} // namespace

// Guards against a lost update between two operators, a conflict that does not
// say who won, and a history without its audit details.
TEST_CASE("of two racing operators one wins and the other learns who", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    holder_fixture two(platform, "two");
    bool raced = false;
    platform.before_transact = [&] {
        if (!std::exchange(raced, true)) {
            CHECK(two.submit("bola", 0).value() == 1);
        }
    };
    const auto lost = one.submit("amina", 0);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == failure_kind::revision_conflict);
    CHECK(lost.error().detail.find("'bola'") != std::string::npos);
    CHECK(one.submit("amina", 0).error().kind == failure_kind::revision_conflict);
    const auto history = state::collect([&] { return one.holder.read_history(1); });
    CHECK(history.value().operator_name == "bola");
    CHECK(history.value().submitted_at == state::wall_time(5ms));
    CHECK(history.value().document == "document of bola");
    CHECK_FALSE(state::collect([&] { return one.holder.read_history(2); }));
}

// Guards against a change reported as failed although it took effect, and
// against one reported as done although nobody knows.
TEST_CASE("a submission whose reply is lost is read back by its write key", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    platform.lose_next_replies = 1;
    CHECK(one.submit("amina", 0).value() == 1);
    CHECK(one.holder.current()->revision == 1);

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
    CHECK(unknown.current()->revision == 0);
}

// Guards against a change that a minority accepts, that is written long after
// its announcement, or that is invalid.
TEST_CASE("a submission is refused before it writes", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    one.informed = 1;
    CHECK(one.submit("amina", 0).error().kind == failure_kind::isolated);
    one.informed = 2;
    CHECK(one.submit("amina", 0, 2'001ms).error().kind == failure_kind::deadline_exceeded);
    CHECK(one.submit("two\nlines", 0).error().kind == failure_kind::invalid_request);
    const coordination::configuration_submission broken{"broken", "amina", {}, 0};
    CHECK(state::collect([&] { return one.holder.announce(broken, start); }).error().kind ==
          failure_kind::invalid_configuration);
    platform.store_down = true;
    CHECK(one.submit("amina", 0).error().kind == failure_kind::store_unavailable);
    CHECK(platform.transactions == 0);
}

// Guards against a fresh member that serves an old revision: without the store
// it needs three peers' answers, a majority, and the highest revision it heard of.
TEST_CASE("a starting member waits for the highest revision it heard of", "[configuration]") {
    tests::faulty_platform platform;
    platform.store_down = true;
    holder_fixture one(platform, "one");
    one.listed = 9;
    const state::peer_state old{{}, {3, 3, 0}, "d"};
    for (int replies = 0; replies < 2; ++replies) {
        one.holder.note_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::starting);
    }
    SECTION("all agree") {
        one.holder.note_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::serving);
    }
    SECTION("without a majority") {
        one.heard_at.reset();
        one.holder.note_peer_state(old, start);
        CHECK(one.holder.service(start) == service_state::starting);
    }
    SECTION("one heard of a higher revision") {
        one.holder.note_peer_state({{}, {3, 4, 0}, "d"}, start);
        CHECK(one.holder.service(start) == service_state::starting);
        one.peer = {{}, {4, 4, 0}, "d"};
        one.holder.poll(start);
        CHECK(one.holder.current()->revision == 4);
        CHECK(one.holder.service(start) == service_state::serving);
    }
}

// Guards against an aborted announcement that stops members at each later
// outage, and against one that is taken as aborted without a proof.
TEST_CASE("only a late read of the store settles an announcement", "[configuration]") {
    tests::faulty_platform platform;
    holder_fixture one(platform, "one");
    one.holder.poll(start);
    CHECK_FALSE(one.holder.note_revisions({0, 0, state::make_announcement(1, 0)}, start));
    const bool reads_late = GENERATE(false, true);
    if (reads_late) {
        one.holder.poll(start + 31s);
    }
    platform.store_down = true;
    const auto later = start + 60s;
    one.heard_at = later;
    one.holder.poll(later);
    CHECK(one.holder.service(later) ==
          (reads_late ? service_state::serving : service_state::behind));
}

// The rule of the design, with each limit from both sides.
TEST_CASE("the rule for an isolated member", "[configuration]") {
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
        {"short behind", {true, false, ago(0s), none, ago(2s), none}, service_state::serving},
        {"behind", {true, false, ago(0s), none, ago(2'001ms), none}, service_state::behind},
        {"woken behind", {true, true, ago(0s), none, ago(0s), none}, service_state::behind},
        {"announced", {true, false, none, ago(0s), none, ago(2'001ms)}, service_state::behind},
        {"announced, store", {true, false, ago(0s), none, none, ago(9s)}, service_state::serving},
        {"announced, woken", {true, true, none, ago(0s), none, ago(0s)}, service_state::behind},
    };
    for (const auto& each : rows) {
        INFO(each.name);
        CHECK(coordination::decide_service(each.facts, {}, now) == each.expected);
    }
    coordination::eligibility_settings single;
    single.single_entry_host = true;
    CHECK(coordination::decide_service({true, {}, {}, {}, {}, {}}, single, now) ==
          service_state::serving);
    // One that may accept and one that may serve always share a member.
    for (std::size_t listed = 1; listed < 400; ++listed) {
        CHECK(coordination::informed_needed(listed) + coordination::majority_needed(listed) >
              listed);
    }
}

// Guards against settings with which the 6 s cannot be kept or no member is probed.
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
