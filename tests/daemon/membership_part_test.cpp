// Tests of membership_part: three instances exchange datagrams over loopback and
// share one platform in memory.
#include "daemon/membership_part.h"

#include "savoryrelay/state/platform/memory_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay;
using namespace std::chrono_literals;
using state::failure_kind;

namespace {

/// Time within which a change must take effect on all members.
constexpr auto effect_time_limit = 6'000ms;
constexpr auto check_interval = 20ms;
constexpr const char* document = "availability_zones: [{id: zone-a}]\n";

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

/// Checks `condition` at intervals until it is true. Returns false if it does not
/// become true within `effect_time_limit`.
bool becomes_true(const std::function<bool()>& condition) {
    const auto end = read_clock() + effect_time_limit;
    while (read_clock() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return false;
}

struct parts_fixture {
    state::memory_platform platform;
    state::metrics metrics;
    std::array<state::snapshot_cell<state::configuration>, 3> in_force{
        state::snapshot_cell<state::configuration>{state::configuration{}},
        state::snapshot_cell<state::configuration>{state::configuration{}},
        state::snapshot_cell<state::configuration>{state::configuration{}}};
    std::array<std::uint16_t, 3> ports{};
    std::array<std::unique_ptr<daemon::membership_part>, 3> parts;

    parts_fixture() {
        using boost::asio::ip::udp;
        boost::asio::io_context context;
        std::vector<udp::socket> sockets;
        std::vector<state::platform_host> hosts;
        for (std::size_t i = 0; i < ports.size(); ++i) {
            sockets.emplace_back(context,
                                 udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
            ports[i] = sockets.back().local_endpoint().port();
            state::platform_host host;
            host.id = state::host_id("m" + std::to_string(i));
            host.entry_host = true;
            hosts.push_back(host);
        }
        platform.set_hosts(hosts);
    }

    void start(std::size_t member) {
        protocol::daemon_settings settings;
        settings.member = state::member_id("m" + std::to_string(member));
        settings.peers.port = ports[member];
        settings.seeds = {"127.0.0.1:" + std::to_string(ports[(member + 1) % ports.size()])};
        parts[member] = std::make_unique<daemon::membership_part>(
            settings, settings.member.value(), platform.hooks(), metrics, in_force[member]);
        REQUIRE(state::collect([&] { return parts[member]->start(); }));
    }

    state::attempt<std::uint64_t> submit(std::size_t member, std::uint64_t expected) {
        return state::collect(
            [&] { return parts[member]->submit(document, expected, "amina", read_clock()); });
    }

    /// Returns whether `member` knows all three members and considers them alive.
    bool knows_all(std::size_t member) const {
        const auto members = parts[member]->members();
        return members.size() == ports.size() &&
               std::all_of(members.begin(), members.end(), [](const auto& known) {
                   return known.state == state::member_state::alive;
               });
    }
};

} // namespace

// Guards against a submission that does not reach the other members, and against
// one that is accepted although it names an outdated revision.
TEST_CASE("a configuration submitted to one member comes into force on all members",
          "[daemon][membership]") {
    parts_fixture fixture;
    for (std::size_t i = 0; i < fixture.parts.size(); ++i) {
        fixture.start(i);
    }
    REQUIRE(becomes_true(
        [&] { return fixture.knows_all(0) && fixture.knows_all(1) && fixture.knows_all(2); }));
    const auto accepted = fixture.submit(0, 0);
    REQUIRE(accepted);
    CHECK(accepted.value() == 1);
    CHECK(becomes_true([&] {
        return fixture.parts[0]->ready(read_clock()) && fixture.parts[1]->ready(read_clock()) &&
               fixture.parts[2]->ready(read_clock());
    }));
    const auto conflicting = fixture.submit(1, 0);
    REQUIRE_FALSE(conflicting);
    CHECK(conflicting.error().kind == failure_kind::revision_conflict);
    CHECK(conflicting.error().detail.find("'amina'") != std::string::npos);
}

// Guards against a change that is accepted by a minority of the members, and
// against a refused change that was written to the table.
TEST_CASE("a submission to a member that reaches no other member is refused",
          "[daemon][membership]") {
    parts_fixture fixture;
    fixture.start(0);
    // The list of hosts is read after the first poll.
    REQUIRE(becomes_true([&] { return fixture.parts[0]->listed_count() == 3; }));
    const auto refused = fixture.submit(0, 0);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == failure_kind::isolated);
    CHECK(state::collect([&] { return fixture.platform.read_row("config/current"); })
              .value()
              .version == 0);
}

// Guards against bookings that stay unsettled after their owner has ended, and
// against settling the bookings of an owner that still runs.
TEST_CASE("an incarnation is gone after the member's stop and after its restart",
          "[daemon][membership]") {
    parts_fixture fixture;
    fixture.start(0);
    fixture.start(1);
    const state::member_id other("m1");
    REQUIRE(becomes_true([&] { return fixture.parts[0]->members().size() == 2; }));
    const auto first_incarnation = fixture.parts[1]->incarnation();
    CHECK_FALSE(fixture.parts[0]->is_gone(other, first_incarnation));
    CHECK_FALSE(fixture.parts[0]->is_gone(state::member_id("m0"), fixture.parts[0]->incarnation()));
    CHECK_FALSE(fixture.parts[0]->is_gone(state::member_id("m2"), first_incarnation));
    fixture.parts[1].reset();
    CHECK(becomes_true([&] { return fixture.parts[0]->is_gone(other, first_incarnation); }));
    fixture.start(1);
    const auto second_incarnation = fixture.parts[1]->incarnation();
    CHECK(becomes_true([&] {
        const auto members = fixture.parts[0]->members();
        return members.back().state == state::member_state::alive &&
               members.back().incarnation >= second_incarnation;
    }));
    CHECK(fixture.parts[0]->is_gone(other, first_incarnation));
    CHECK_FALSE(fixture.parts[0]->is_gone(other, second_incarnation));
}
