// Explores the interleavings of a hand-over of the lease exhaustively, up to a bound on the
// number of faults in a run, and checks the rules on groups at each order.
#include "support/handover_model.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

struct violation_count {
    std::size_t runs = 0;
    std::string example; // the first run's conditions and violation
};

struct exploration {
    std::size_t runs = 0;
    std::size_t refused_orders = 0;
    std::size_t runs_without_group = 0;
    state::milliseconds time_to_open{0};
    std::unordered_set<std::uint64_t> visited;
    std::map<std::string, violation_count> violations; // by rule and kind of hand-over
};

std::string describe(const handover_case& conditions) {
    return std::string(state::to_name(conditions.kind)) +
           (conditions.restarts_member ? ", member restarts" : "") + ", at " +
           std::to_string(conditions.handover_at.count()) + " ms, entries after " +
           std::to_string(conditions.entry_lag.count()) + " ms";
}

// Explores all paths of a case with at most `max_faults` faults.
void explore(const handover_case& conditions, std::size_t max_faults, exploration& found) {
    choice_path choices(max_faults);
    do {
        handover_model model(conditions, choices, found.visited);
        model.run();
        ++found.runs;
        found.refused_orders += model.refused_orders;
        found.time_to_open += model.time_to_open.value_or(0ms);
        found.runs_without_group += model.time_to_open ? 0 : 1;
        for (const auto& violation : model.violations) {
            const auto kind = violation.substr(0, violation.find(':'));
            auto& count =
                found.violations[kind + ", " + std::string(state::to_name(conditions.kind))];
            ++count.runs;
            if (count.example.empty()) {
                count.example = violation + " (" + describe(conditions) + ")";
            }
        }
    } while (choices.advance());
}

struct bounds {
    std::size_t max_faults = 1;
    state::milliseconds interval{0}; // between the hand-overs' times, which end at 1,500 ms
    std::vector<state::milliseconds> entry_lags;
};

void explore_all(const bounds& limits, exploration& found) {
    for (const auto& [kind, name] : state::enum_table<handover_kind>::rows) {
        for (const bool restarts_member : {false, true}) {
            for (const auto entry_lag : limits.entry_lags) {
                for (auto at = limits.interval; at <= 1'500ms; at += limits.interval) {
                    explore({kind, restarts_member, at, 200ms, entry_lag}, limits.max_faults,
                            found);
                }
            }
        }
    }
}

void check(const exploration& found) {
    const auto groups = std::max<std::size_t>(1, found.runs - found.runs_without_group);
    std::printf("handover model: %zu runs, %zu states, %zu refused orders, %zu runs without a "
                "group at their end, mean time to an open group %.0f ms\n",
                found.runs, found.visited.size(), found.refused_orders, found.runs_without_group,
                static_cast<double>(found.time_to_open.count()) / static_cast<double>(groups));
    for (const auto& [kind, count] : found.violations) {
        UNSCOPED_INFO(kind << ": " << count.runs << " times, first " << count.example);
    }
    CHECK(found.violations.empty());
}

} // namespace

TEST_CASE("no interleaving of a hand-over with one fault breaks a rule on groups") {
    exploration found;
    explore_all({1, 500ms, {200ms}}, found);
    check(found);
}

// Hidden, because they take minutes: coordination_tests "[handover-deep]".
TEST_CASE("no interleaving of a hand-over at any step breaks a rule on groups",
          "[.handover-deep]") {
    exploration found;
    explore_all({1, 50ms, {200ms, 1'000ms}}, found);
    check(found);
}

TEST_CASE("no interleaving of a hand-over with two faults breaks a rule on groups",
          "[.handover-two-faults]") {
    exploration found;
    explore_all({2, 500ms, {200ms}}, found);
    check(found);
}
