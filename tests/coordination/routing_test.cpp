// Tests the routing score, the choice among slots and the endpoint directory.
#include "savoryrelay/coordination/routing/endpoint_directory.h"
#include "support/fault_matrix.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <atomic>
#include <functional>
#include <thread>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using state::endpoint_phase;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};

route_row warm_row(std::uint32_t running = 0, std::uint32_t zone = 0) {
    route_row row;
    row.state.phase = endpoint_phase::warm;
    row.state.report.running = running;
    row.capacity = 10;
    row.zone = zone;
    return row;
}

route_view view_of(const std::vector<route_row>& rows) {
    route_view view;
    view.count = rows.size();
    view.read = [&rows](std::uint32_t slot) { return rows[slot]; };
    view.summary = {0.5, 40};
    return view;
}

using row_predicate = std::function<bool(const route_row&)>;

// Drains a random zone and puts random endpoints into the leaving phase. Returns
// true when one of 20 decisions chose such an endpoint. `is_hidden`, if set, selects
// the rows whose drain and phase are hidden from the decision.
bool sends_to_drained(const row_predicate& is_hidden) {
    std::vector<route_row> rows;
    const auto count = *rc::gen::inRange(1, 40);
    const auto drained_zone = *rc::gen::inRange<std::uint32_t>(0, 3);
    for (int i = 0; i < count; ++i) {
        auto row = warm_row(*rc::gen::inRange<std::uint32_t>(0, 12),
                            *rc::gen::inRange<std::uint32_t>(0, 3));
        row.zone_drained = row.zone == drained_zone;
        row.state.phase = *rc::gen::element(endpoint_phase::warm, endpoint_phase::leaving);
        rows.push_back(row);
    }
    auto view = view_of(rows);
    if (is_hidden) {
        // Hides the fields that `can_accept` checks.
        view.read = [&](std::uint32_t slot) {
            auto row = rows[slot];
            if (is_hidden(row)) {
                row.zone_drained = false;
                row.state.phase = endpoint_phase::warm;
            }
            return row;
        };
    }
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 20; ++i) {
        const auto slot = state::collect([&] { return choose_slot(view, {}, {}, start, random); });
        if (slot && (rows[slot.value()].zone_drained ||
                     rows[slot.value()].state.phase == endpoint_phase::leaving)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a score term that has no effect or the wrong sign.
TEST_CASE("each cost raises the score and a cached prefix lowers it", "[routing]") {
    struct term {
        std::string_view name;
        std::function<void(route_row&, route_needs&)> worsen;
    };
    const std::array terms{
        term{"reported load", [](auto& row, auto&) { row.state.report.running += 3; }},
        term{"sent since report", [](auto& row, auto&) { row.state.sent_since_report = 3; }},
        term{"in flight", [](auto& row, auto&) { row.state.in_flight = 9; }},
        term{"straggler", [](auto& row, auto&) { row.state.token_interval_ms = 80; }},
        term{"other zone", [](auto& row, auto&) { row.zone = 1; }},
        term{"adapter not loaded", [](auto&, auto& needs) { needs.adapter = 4; }},
        term{"returning zone", [](auto& row, auto&) { row.zone_returned_at = start - 30s; }},
        term{"batch priority behind a queue",
             [](auto& row, auto& needs) {
                 row.state.report.running = 0;
                 row.state.report.queued = 5;
                 needs.priority = route_priority::batch;
             }},
    };
    const route_summary summary{0.5, 40};
    for (const auto& row : terms) {
        INFO(row.name);
        auto plain = warm_row(5);
        route_needs needs;
        const double before = score_of(plain, needs, summary, {}, start, 0, false);
        row.worsen(plain, needs);
        CHECK(score_of(plain, needs, summary, {}, start, 0, false) > before);
    }
    const auto row = warm_row(5);
    CHECK(score_of(row, {}, summary, {}, start, 1, false) <
          score_of(row, {}, summary, {}, start, 0, true));
    // Guards against a popular prefix that overloads the endpoint that caches it.
    const auto full = warm_row(9);
    CHECK(score_of(full, {}, summary, {}, start, 1, false) ==
          score_of(full, {}, summary, {}, start, 0, false));
}

// Guards against requests to an endpoint that cannot accept them.
TEST_CASE("only endpoints that can accept the request are eligible", "[routing]") {
    auto row = warm_row();
    CHECK(can_accept(row, {}, {}, start));
    row.state.phase = endpoint_phase::down;
    row.state.retry_at = start + 1s;
    CHECK_FALSE(can_accept(row, {}, {}, start));
    CHECK(can_accept(row, {}, {}, start + 1s));
    row = warm_row();
    row.state.phase = endpoint_phase::cold;
    row.cold_permits = 0;
    CHECK_FALSE(can_accept(row, {}, {}, start));
    row.cold_permits = 1;
    CHECK(can_accept(row, {}, {}, start));
    row = warm_row();
    row.version = 7;
    CHECK_FALSE(can_accept(row, {.version = 8}, {}, start));
}

// Guards against requests to a zone or an endpoint that is out of service (P4, P8).
TEST_CASE("a drained zone or a leaving endpoint is never chosen", "[routing][property]") {
    CHECK(rc::check([] { RC_ASSERT_FALSE(sends_to_drained({})); }));
    bool violated = false;
    rc::check(
        [&] { violated = violated || sends_to_drained([](const route_row&) { return true; }); });
    CHECK(violated);
}

// Guards against a returning zone that gets its full share too early.
TEST_CASE("a returning zone's share grows over the ramp", "[routing]") {
    auto row = warm_row();
    row.zone_returned_at = start;
    CHECK(zone_share(row, {}, start) == 0);
    CHECK(zone_share(row, {}, start + 15s) == Approx(0.25));
    CHECK(zone_share(row, {}, start + 2min) == 1);

    endpoint_directory directory({warm_row(0, 0), warm_row(0, 1)}, {});
    directory.set_zone_drained(1, true, start);
    CHECK(directory.read(1).zone_drained);
    CHECK_FALSE(directory.read(0).zone_drained);
    directory.set_zone_drained(1, false, start);
    CHECK(directory.read(1).state.phase == endpoint_phase::cold);
}

// Guards against a prefix table that exceeds its bound or keeps slots whose
// prefixes were removed.
TEST_CASE("the prefix table is bounded and removes the prefixes of a slot", "[routing]") {
    prefix_table table(16);
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        table.learn(static_cast<std::uint32_t>(i % 4), {i, i + 1'000'000});
    }
    CHECK(table.size() == 4 * 16);
    CHECK(table.find({0}).count == 0);
    const auto found = table.find({999, 1'000'999, 5});
    REQUIRE(found.count == 1);
    CHECK(found.rows[0].slot == 3);
    CHECK(found.rows[0].fraction == Approx(2.0 / 3));
    table.forget(3);
    CHECK(table.find({999}).count == 0);

    const std::string prompt(1'300, 'x');
    CHECK(prefix_digests(prompt).size() == 2);
    CHECK(prefix_digests(prompt)[0] != prefix_digests(prompt)[1]);
    CHECK(prefix_digests(prompt)[1] == prefix_digests(prompt + "tail")[1]);
}

// Guards against more requests to a cold endpoint than the router has permits.
TEST_CASE("begin takes one permit per request of a cold endpoint", "[routing]") {
    auto row = warm_row();
    row.state.phase = endpoint_phase::cold;
    row.cold_permits = 2;
    endpoint_directory directory({row}, {});
    random_source random(1);
    const auto begin = [&] {
        return state::collect([&] { return directory.begin({}, start, random); });
    };
    CHECK(begin());
    CHECK(begin());
    const auto third = begin();
    REQUIRE_FALSE(third);
    CHECK(third.error().kind == state::failure_kind::no_endpoint);
    CHECK(third.error().reported_outcome() == state::execution_outcome::not_run);
    CHECK(directory.read(0).state.in_flight == 2);
}

// Guards against a choice from a candidate list that ignores exclusions, drains
// or prefixes.
TEST_CASE("choose_endpoint excludes failed endpoints and prefers a cached prefix", "[routing]") {
    std::vector<route_candidate> candidates(6);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].endpoint = state::endpoint_id("e" + std::to_string(i));
        candidates[i].capacity = 10;
        candidates[i].state.phase = endpoint_phase::warm;
    }
    candidates[4].has_prefix = true;
    random_source random(7);
    route_request request;
    const auto chosen =
        state::collect([&] { return choose_endpoint(candidates, request, start, random); });
    REQUIRE(chosen);
    CHECK(chosen.value() == 4);
    request.excluded = {state::endpoint_id("e4")};
    candidates[0].drained = true;
    for (int i = 0; i < 50; ++i) {
        const auto other =
            state::collect([&] { return choose_endpoint(candidates, request, start, random); });
        REQUIRE(other);
        CHECK(other.value() != 4);
        CHECK(other.value() != 0);
    }
}

// Guards against requests to a leaving endpoint, or to a cold one without a
// permit, when a fault occurs during a phase change.
TEST_CASE("fault matrix of the endpoint phase", "[routing][faults]") {
    using tests::cell_outcome;
    using tests::fault;
    tests::run_fault_matrix<endpoint_phase>("endpoint_phase", [](endpoint_phase from,
                                                                 endpoint_phase to,
                                                                 fault injected) {
        auto row = warm_row(2);
        row.state.phase = from;
        row.state.retry_at = start + 1s;
        row.cold_permits = 1;
        endpoint_directory directory({row, warm_row(2)}, {});
        random_source random(3);
        switch (injected) {
        case fault::process_killed:
            directory.set_phase(0, endpoint_phase::down);
            break;
        case fault::cold_again:
            directory.set_phase(0, endpoint_phase::cold);
            break;
        case fault::straggler:
            directory.observe_token_interval(0, 900);
            directory.observe_token_interval(1, 40);
            directory.refresh();
            break;
        case fault::answer_late: // the end of a request that was already counted
            directory.end(0);
            break;
        case fault::operators_race: // a drain and a return overlap
            directory.set_zone_drained(0, true, start);
            directory.set_zone_drained(0, false, start - 1min);
            break;
        default:
            return cell_outcome::unaffected;
        }
        const auto before = directory.read(0).state.phase;
        const bool moved = directory.set_phase(0, to);
        const auto after = directory.read(0);
        if (moved != state::is_allowed(before, to) || after.state.phase != (moved ? to : before)) {
            return cell_outcome::violated;
        }
        for (int i = 0; i < 20; ++i) {
            const auto slot = state::collect([&] { return directory.begin({}, start, random); });
            if (slot && slot.value() == 0 && !can_accept(after, {}, {}, start)) {
                return cell_outcome::violated;
            }
        }
        // A cold or warming endpoint never gets more requests than its one permit.
        const bool is_limited = after.state.phase == endpoint_phase::cold ||
                                after.state.phase == endpoint_phase::warming;
        return is_limited && directory.read(0).state.in_flight > 1 ? cell_outcome::violated
                                                                   : cell_outcome::held;
    });
}

// Guards against request counts that are lost or counted twice when lanes
// exchange their counts while other threads make decisions, and against two
// lanes that use the same permit.
TEST_CASE("lanes keep exact counts and permits when threads decide concurrently",
          "[routing][threads]") {
    constexpr std::size_t lanes = 4;
    constexpr int rounds = 2'000;
    auto cold = warm_row();
    cold.state.phase = endpoint_phase::cold;
    cold.cold_permits = 100;
    std::vector<route_row> rows(200, warm_row());
    rows[0] = cold;
    endpoint_directory directory(rows, {}, lanes);
    std::atomic<int> cold_sent{0};
    std::vector<std::thread> threads;
    for (std::size_t lane = 0; lane < lanes; ++lane) {
        threads.emplace_back([&, lane] {
            random_source random(lane);
            slot_request request;
            request.prefix = {200, 7}; // hashes to the cold slot
            for (int i = 0; i < rounds; ++i) {
                const auto slot =
                    state::collect([&] { return directory.begin(request, start, random, lane); });
                cold_sent += slot.value() == 0 ? 1 : 0;
                directory.end(slot.value(), lane);
                if (i % 50 == 0) {
                    directory.refresh();
                }
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    directory.refresh();
    std::size_t sent = 0;
    for (std::uint32_t slot = 0; slot < directory.size(); ++slot) {
        for (std::size_t lane = 0; lane < lanes; ++lane) {
            CHECK(directory.read(slot, lane).state.in_flight == 0);
        }
        sent += directory.read(slot).state.sent_since_report;
    }
    CHECK(sent == lanes * rounds);
    CHECK(cold_sent <= 100);
    CHECK(cold_sent > 0);
}
