// Tests that all hosts together keep to the rate of calls that a runner has named, and use it.
#include "support/call_rate_simulation.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 3;

// What the platform allows in four seconds: one and a half times the rate, and five calls.
std::size_t allowed_calls(double limit_per_s) {
    return static_cast<std::size_t>(1.5 * limit_per_s * 4 + 5);
}

// Share of a limit that is used under demand, at least.
constexpr double min_used_share = 0.8;

// Calls that are wanted beyond the limit.
constexpr double demand_factor = 3;

void check_used(const call_rate_simulation& simulation, state::time_point from, double limit) {
    const auto span = std::chrono::duration<double>(simulation.now - from).count();
    const auto sent = static_cast<double>(simulation.sent_since(from));
    CAPTURE(sent, limit * span);
    CHECK(sent >= min_used_share * limit * span);
}

} // namespace

TEST_CASE("the share of the calls that are sent follows the limit and what was sent beyond it") {
    CHECK(share_within_rate(6, 0, 0) == 1);
    CHECK(share_within_rate(6, 6, 6) == 1);
    CHECK(share_within_rate(6, 12, 6) == 0.5);
    CHECK(share_within_rate(6, 12, 60) == 0);
    CHECK(share_within_rate(1.7e308, 12, 6) == 1);
    CHECK(share_within_rate(0, 12, 0) > 0); // its end would not be noticed otherwise
    CHECK(unheard_factor(9, 9) == 1);
    CHECK(unheard_factor(9, 5) == 1);
    CHECK(unheard_factor(9, 3) == 6);
    CHECK(unheard_factor(8, 4) == 4);
    CHECK(unheard_factor(1, 1) == 1);
}

TEST_CASE("hosts with even demand keep to a limit and use it") {
    const std::size_t host_count = GENERATE(1U, 9U, 60U, 104U);
    const double limit = GENERATE(0.5, 6.5, 40);
    constexpr auto measured = 30s;
    std::size_t sent = 0; // of all seeds: a low limit allows few calls in one run
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(host_count, limit, seed);
        call_rate_simulation simulation(seed, host_count, limit);
        simulation.set_wanted(demand_factor * limit);
        simulation.run(2s);
        const auto steady = simulation.now;
        simulation.run(measured);
        CHECK(simulation.most_in_window() <= allowed_calls(limit));
        sent += simulation.sent_since(steady);
    }
    CAPTURE(host_count, limit);
    CHECK(static_cast<double>(sent) >= min_used_share * limit * seeds * measured.count());
}

TEST_CASE("one host with much demand among others with little uses what they leave") {
    const std::size_t host_count = GENERATE(9U, 60U);
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    constexpr double limit = 6.5;
    CAPTURE(host_count, seed);
    call_rate_simulation simulation(seed, host_count, limit);
    simulation.set_wanted(1);
    simulation.hosts[3].wanted_per_s = demand_factor * limit;
    simulation.run(2s);
    const auto steady = simulation.now;
    simulation.run(30s);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
    check_used(simulation, steady, limit);
}

TEST_CASE("calls that come to all hosts at once after a calm keep to the limit") {
    const std::size_t host_count = GENERATE(9U, 60U, 104U);
    const double limit = GENERATE(0.5, 6.5, 40);
    const double calm_per_s = GENERATE(0.0, 0.2);
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    CAPTURE(host_count, limit, calm_per_s, seed);
    call_rate_simulation simulation(seed, host_count, limit);
    simulation.set_wanted(calm_per_s);
    simulation.run(6s);
    simulation.set_wanted(5 * limit);
    simulation.run(6s);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
}

TEST_CASE("calls below the limit are all sent") {
    const std::size_t host_count = GENERATE(1U, 9U, 104U);
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    CAPTURE(host_count, seed);
    call_rate_simulation simulation(seed, host_count, 6.5);
    simulation.set_wanted(3);
    simulation.run(30s);
    const auto wanted = static_cast<double>(simulation.wanted);
    CHECK(static_cast<double>(simulation.sent_since({})) >= 0.95 * wanted);
}

TEST_CASE("a limit that falls is kept to") {
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    call_rate_simulation simulation(seed, 9, 20);
    simulation.set_wanted(40);
    simulation.run(10s);
    simulation.runner.call_rate.calls_per_s = 5;
    simulation.run(500ms); // the platform allows as much time to keep to it
    const auto in_force = simulation.now;
    simulation.run(20s);
    CAPTURE(seed);
    CHECK(simulation.most_in_window(in_force) <= allowed_calls(5));
}

TEST_CASE("a host that starts anew takes no more than its part until it hears the others") {
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    constexpr double limit = 6.5;
    call_rate_simulation simulation(seed, 9, limit);
    simulation.set_wanted(demand_factor * limit);
    simulation.run(5s);
    for (int i = 0; i < 5; ++i) {
        simulation.restart(4);
        simulation.run(2s);
    }
    CAPTURE(seed);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
}

TEST_CASE("the halves of a fleet that don't hear each other send the limit once together") {
    const std::size_t host_count = GENERATE(8U, 9U, 60U);
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    constexpr double limit = 6.5;
    call_rate_simulation simulation(seed, host_count, limit);
    simulation.set_wanted(demand_factor * limit);
    simulation.run(5s);
    for (std::size_t i = 0; i < host_count / 2; ++i) {
        simulation.hosts[i].side = 1;
    }
    simulation.run(20s);
    CAPTURE(host_count, seed);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
}

TEST_CASE("a host that is cut off takes only its part, and the others use the rest") {
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    constexpr double limit = 6.5;
    call_rate_simulation simulation(seed, 9, limit);
    simulation.set_wanted(demand_factor * limit);
    simulation.run(5s);
    simulation.hosts[2].side = 1;
    simulation.run(2s);
    const auto from = simulation.now;
    const auto sent_before = simulation.hosts[2].sent;
    simulation.run(20s);
    CAPTURE(seed);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
    const auto sent = static_cast<double>(simulation.hosts[2].sent - sent_before);
    CHECK(sent <= 1.5 * limit * 20 / 9);
    check_used(simulation, from, limit);
}

TEST_CASE("a host that has ended leaves its part to the others") {
    const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, seeds + 1));
    constexpr double limit = 6.5;
    call_rate_simulation simulation(seed, 3, limit);
    simulation.set_wanted(9 * limit);
    simulation.run(5s);
    simulation.hosts[0].is_silent = true;
    simulation.hosts[0].wanted_per_s = 0;
    simulation.run(2s);
    const auto from = simulation.now;
    simulation.run(20s);
    CAPTURE(seed);
    CHECK(simulation.most_in_window() <= allowed_calls(limit));
    check_used(simulation, from, limit);
}
