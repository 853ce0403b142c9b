// Submissions through the membership of three daemons, which exchange datagrams
// over loopback and share one platform in memory.
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

constexpr auto promised = 6'000ms;
constexpr auto check_interval = 20ms;
constexpr const char* document = "availability_zones: [{id: zone-a}]\n";

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

/// Checks `holds` at intervals until it is true. False: it was not by the promised time.
bool becomes_true(const std::function<bool()>& holds) {
    const auto end = read_clock() + promised;
    while (read_clock() < end) {
        if (holds()) {
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

    /// Whether `member` knows all three as alive.
    bool knows_all(std::size_t member) const {
        const auto members = parts[member]->members();
        return members.size() == ports.size() &&
               std::all_of(members.begin(), members.end(), [](const auto& each) {
                   return each.state == state::member_state::alive;
               });
    }
};

} // namespace

// Guards against a submission that is not announced, is lost on the way to the
// others, or is accepted on top of another one.
TEST_CASE("a submission through one member is in force on all", "[daemon][membership]") {
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
    const auto lost = fixture.submit(1, 0);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().kind == failure_kind::revision_conflict);
    CHECK(lost.error().detail.find("'amina'") != std::string::npos);
}

// Guards against a change that a minority accepts, and against one that is
// refused only after it was written.
TEST_CASE("a submission through a member that is alone is refused", "[daemon][membership]") {
    parts_fixture fixture;
    fixture.start(0);
    // The list is read after the first poll.
    REQUIRE(becomes_true([&] { return fixture.parts[0]->listed_count() == 3; }));
    const auto refused = fixture.submit(0, 0);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == failure_kind::isolated);
    CHECK(state::collect([&] { return fixture.platform.read_row("config/current"); })
              .value()
              .version == 0);
}

// Guards against bookings that wait for a process that has ended, and against
// settling those of one that runs.
TEST_CASE("a run of a member is gone after its stop and after a restart", "[daemon][membership]") {
    parts_fixture fixture;
    fixture.start(0);
    fixture.start(1);
    const state::member_id other("m1");
    REQUIRE(becomes_true([&] { return fixture.parts[0]->members().size() == 2; }));
    const auto first = fixture.parts[1]->incarnation();
    CHECK_FALSE(fixture.parts[0]->is_gone(other, first));
    CHECK_FALSE(fixture.parts[0]->is_gone(state::member_id("m0"), fixture.parts[0]->incarnation()));
    CHECK_FALSE(fixture.parts[0]->is_gone(state::member_id("m2"), first));
    fixture.parts[1].reset();
    CHECK(becomes_true([&] { return fixture.parts[0]->is_gone(other, first); }));
    fixture.start(1);
    const auto second = fixture.parts[1]->incarnation();
    CHECK(becomes_true([&] {
        const auto members = fixture.parts[0]->members();
        return members.back().state == state::member_state::alive &&
               members.back().incarnation >= second;
    }));
    CHECK(fixture.parts[0]->is_gone(other, first));
    CHECK_FALSE(fixture.parts[0]->is_gone(other, second));
}
