// Tests the exchange between entry hosts: the choice of hubs, counted loads, copied tables,
// lost hubs, faulty datagrams, and how the messages grow with the number of hosts.
#include "support/exchange_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;
using tests::exchange_simulation;

namespace {

const state::endpoint_id endpoint("i-1");

// The calls in flight at the endpoint, as one host counts them.
std::uint32_t counted(const exchange_simulation::host& host, state::time_point now) {
    const auto loads = host.loads->all(now);
    const auto found = loads.find(endpoint);
    return found == loads.end() ? 0 : found->second.waiting;
}

// Returns a version of a store that was never restored.
state::store_version at(std::uint64_t number) {
    return {0, number};
}

// The versions of the rows that are not removed.
std::map<std::string, state::store_version> rows_of(const state::table_mirror& mirror) {
    std::map<std::string, state::store_version> versions;
    for (const auto& row : mirror.image().rows) {
        versions[row.key] = row.version;
    }
    return versions;
}

std::size_t hosts_up(const exchange_simulation& simulation) {
    return static_cast<std::size_t>(
        std::count_if(simulation.hosts.begin(), simulation.hosts.end(),
                      [](const auto& each) { return each.is_up && !each.is_cut_off; }));
}

// Each host has one call at the endpoint.
void begin_calls(exchange_simulation& simulation) {
    for (auto& host : simulation.hosts) {
        host.loads->begin_call(endpoint, 100);
    }
}

// The rounds in a second.
constexpr int second = 1s / exchange_simulation::round;
// The rounds by which a late datagram of an ended host may delay the notice of its silence.
constexpr int latest_datagram = 3;

// Each host that is up makes a notice of its own. Returns the rounds until all of them know
// all notices, or `limit` + 1.
int rounds_until_notices_known(exchange_simulation& simulation, int limit) {
    std::uint64_t made = 0;
    for (auto& host : simulation.hosts) {
        if (host.is_up) {
            simulation.note(host, {state::crash_notice_kind::crashed, ++made, 1, 5ms});
        }
    }
    int rounds = 0;
    bool is_known = false;
    while (!is_known && rounds <= limit) {
        simulation.advance();
        ++rounds;
        is_known =
            std::all_of(simulation.hosts.begin(), simulation.hosts.end(), [&](const auto& host) {
                return !host.is_up || host.known_notices.size() == made;
            });
    }
    return is_known ? rounds : limit + 1;
}

// Ends the host that reads the store for the first zone: the first hub there in a large
// fleet, and any host in a small one.
void end_hub(exchange_simulation& simulation) {
    const auto hub =
        std::find_if(simulation.hosts.begin(), simulation.hosts.end(),
                     [](const auto& host) { return host.exchange->is_store_reader(); });
    REQUIRE(hub != simulation.hosts.end());
    hub->is_up = false;
}

struct fleet_size {
    std::size_t zones;
    std::size_t hosts_per_zone;
};
constexpr std::array fleet_sizes{fleet_size{2, 4}, fleet_size{3, 40}};
constexpr std::uint64_t seeds = 10;

} // namespace

TEST_CASE("exchange: each host counts each call of the fleet once") {
    for (const std::size_t hosts_per_zone : {3U, 6U, 7U, 20U, 60U}) {
        exchange_simulation simulation(1, {}, 3, hosts_per_zone);
        begin_calls(simulation);
        simulation.advance(20);
        for (const auto& host : simulation.hosts) {
            INFO(host.entry.name << " of " << simulation.hosts.size());
            CHECK(counted(host, simulation.now) == simulation.hosts.size());
        }
    }
}

TEST_CASE("exchange: one host of each zone reads the store, and strong hosts come first") {
    exchange_simulation simulation(1, {}, 5, 59);
    simulation.advance(5);
    CHECK(simulation.store_readers() == 5);
    for (const auto& host : simulation.hosts) {
        if (host.exchange->is_store_reader()) {
            CHECK(host.entry.processor_share == 0.5);
        }
    }
}

TEST_CASE("exchange: a member's messages do not grow with the number of hosts") {
    std::vector<std::uint64_t> datagrams;
    std::vector<std::uint64_t> entries;
    for (const std::size_t hosts_per_zone : {20U, 60U}) {
        exchange_simulation simulation(1, {}, 5, hosts_per_zone);
        begin_calls(simulation);
        simulation.advance(20);
        std::uint64_t most_datagrams = 0;
        std::uint64_t most_entries = 0;
        std::uint64_t members = 0;
        for (const auto& host : simulation.hosts) {
            if (host.entry.processor_share < 0.5) {
                ++members;
                most_datagrams = std::max(most_datagrams, host.sent_datagrams);
                most_entries = std::max(most_entries, host.sent_bytes_entries);
            }
        }
        REQUIRE(members > 0);
        datagrams.push_back(most_datagrams);
        entries.push_back(most_entries);
    }
    CHECK(datagrams[0] == datagrams[1]);
    CHECK(entries[1] <= entries[0] + digest_exchange::peers_per_digest);
    CHECK(datagrams[1] <= 2);
}

TEST_CASE("exchange: members report to another hub after the hubs of their zone have ended") {
    exchange_simulation simulation(1, {}, 3, 30);
    begin_calls(simulation);
    simulation.advance(20);
    // All strong hosts of the first zone end, its hubs among them.
    for (auto& host : simulation.hosts) {
        const bool is_first_zone =
            host.entry.availability_zone == simulation.hosts.front().entry.availability_zone;
        host.is_up = !(is_first_zone && host.entry.processor_share == 0.5);
    }
    // Two hubs are found silent one after the other, then loads expire and spread again.
    simulation.advance(30);
    CHECK(simulation.store_readers() == 3);
    for (const auto& host : simulation.hosts) {
        if (host.is_up) {
            CHECK(counted(host, simulation.now) == hosts_up(simulation));
        }
    }
    // Hubs that return take their members back.
    for (auto& host : simulation.hosts) {
        if (!host.is_up) {
            simulation.restart(host);
            host.loads->begin_call(endpoint, 100);
        }
    }
    simulation.advance(40);
    for (const auto& host : simulation.hosts) {
        CHECK(counted(host, simulation.now) == simulation.hosts.size());
        CHECK((host.entry.processor_share == 0.5 || !host.exchange->is_store_reader()));
    }
}

TEST_CASE("exchange: a row reaches all hosts within a second, also when all readers end with it") {
    exchange_simulation simulation(1, {}, 5, 40);
    simulation.store->apply_changes({{"config", "v1", at(5), false}}, at(5));
    simulation.advance(10);
    for (const auto& host : simulation.hosts) {
        REQUIRE(host.rows->newest_row_version() == at(5));
    }
    simulation.store->apply_changes({{"config", "v2", at(9), false}}, at(9));
    simulation.advance(10);
    for (const auto& host : simulation.hosts) {
        CHECK(host.rows->newest_row_version() == at(9));
    }
    simulation.store->apply_changes({{"config", "v3", at(12), false}}, at(12));
    for (auto& host : simulation.hosts) {
        host.is_up = !host.exchange->is_store_reader();
    }
    // The time until the silence shows, and the second for the row.
    simulation.advance(16);
    for (const auto& host : simulation.hosts) {
        if (host.is_up) {
            CHECK(host.rows->newest_row_version() == at(12));
        }
    }
}

TEST_CASE("exchange: another host of each zone reads the store when it refuses the readers") {
    exchange_simulation simulation(1, {}, 3, 27);
    simulation.advance(10);
    for (auto& host : simulation.hosts) {
        host.is_refused = host.exchange->is_store_reader();
    }
    simulation.store->apply_changes({{"config", "v2", at(9), false}}, at(9));
    simulation.advance(10);
    CHECK(simulation.store_readers() == 3);
    for (const auto& host : simulation.hosts) {
        CHECK(host.rows->newest_row_version() == at(9));
        CHECK_FALSE((host.is_refused && host.exchange->is_store_reader()));
    }
    // One host of each zone goes on to try where the store refuses all.
    for (auto& host : simulation.hosts) {
        host.is_refused = true;
    }
    simulation.advance(10);
    CHECK(simulation.store_readers() == 3);
}

TEST_CASE("exchange: rows of a restored store reach all hosts, and none returns the rows before") {
    CHECK(rc::check("restored store", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        exchange_simulation simulation(seed, {0.1, 0.1, 0.1}, 3,
                                       *rc::gen::inRange<std::size_t>(3, 10));
        const auto cut_off = seed % simulation.hosts.size();
        for (std::uint64_t number = 1; number <= 9; ++number) {
            simulation.store->apply_changes(
                {{"row-" + std::to_string(number % 3), "", at(number), false}}, at(number));
            simulation.advance();
        }
        simulation.advance(second);
        // The copy ends at version 4. The versions after it are given out again, and a host
        // that is cut off knows only the earlier ones.
        simulation.hosts[cut_off].is_cut_off = true;
        simulation.restore_store(4);
        for (std::uint64_t number = 5; number <= 8; ++number) {
            const state::store_version version(1, number);
            simulation.store->apply_changes(
                {{"row-" + std::to_string(number % 3), "again", version, false}}, version);
            simulation.advance();
        }
        simulation.advance(2 * second);
        simulation.hosts[cut_off].is_cut_off = false;
        simulation.advance(4 * second);
        RC_ASSERT(simulation.went_back == 0U);
        for (const auto& host : simulation.hosts) {
            for (const auto& row : host.rows->image().rows) {
                RC_ASSERT(row.value == "again");
            }
            RC_ASSERT(rows_of(*host.rows) == rows_of(*simulation.store));
        }
    }));
}

TEST_CASE("exchange: a host whose copy is restored finds the newest configuration at a peer") {
    exchange_simulation simulation(1, {}, 3, 5);
    simulation.advance(second);
    for (std::size_t i = 0; i < simulation.hosts.size(); ++i) {
        simulation.hosts[i].configuration_version = i == 4 ? 16 : 13;
    }
    simulation.advance(second);
    for (std::size_t i = 0; i < simulation.hosts.size(); ++i) {
        const auto source = simulation.hosts[i].directory->newest_configuration(simulation.now);
        REQUIRE(source);
        // A member hears of its hub alone.
        const bool hears_all = simulation.hosts[i].exchange->is_store_reader();
        CHECK((source->configuration_version == 16 || i == 4 || !hears_all));
    }
}

TEST_CASE("exchange: faulty datagrams, restarts and cut-off hosts leave no lasting damage") {
    CHECK(rc::check("faulty exchange", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        exchange_simulation simulation(seed, {0.1, 0.1, 0.1}, 3,
                                       *rc::gen::inRange<std::size_t>(3, 16));
        std::mt19937_64 random(seed);
        std::uint64_t version = 0;
        for (int i = 0; i < 60; ++i) {
            auto& host = simulation.hosts[random() % simulation.hosts.size()];
            switch (random() % 6) {
            case 0:
                simulation.restart(host);
                break;
            case 1:
                host.is_cut_off = !host.is_cut_off;
                break;
            case 2:
                host.is_up = false;
                break;
            case 3:
                ++version;
                simulation.store->apply_changes(
                    {{"row-" + std::to_string(version % 3), "v", at(version), random() % 4 == 0}},
                    at(version));
                break;
            default:
                break;
            }
            simulation.advance();
        }
        RC_ASSERT(simulation.went_back == 0U);
        for (auto& host : simulation.hosts) {
            host.is_cut_off = false;
            if (!host.is_up) {
                simulation.restart(host);
            }
        }
        // Silent hubs are probed each second, and a tenth of the datagrams is lost.
        simulation.advance(60);
        const auto expected = rows_of(*simulation.store);
        for (const auto& host : simulation.hosts) {
            RC_ASSERT(rows_of(*host.rows) == expected);
        }
    }));
}

TEST_CASE("exchange: a crash notice of any host reaches all within a second over bad networks") {
    for (const auto& size : fleet_sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            INFO(size.zones << " zones, " << size.hosts_per_zone << " hosts, seed " << seed);
            exchange_simulation simulation(seed, {0.05, 0.05, 0.05}, size.zones,
                                           size.hosts_per_zone);
            simulation.advance(second);
            CHECK(rounds_until_notices_known(simulation, second) <= second);
        }
    }
}

TEST_CASE("exchange: a crash notice reaches all hosts when a hub ends at that moment") {
    for (const auto& size : fleet_sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            for (const double late : {0.0, 0.05}) {
                INFO(size.zones << " zones, " << size.hosts_per_zone << " hosts, seed " << seed
                                << ", late " << late);
                exchange_simulation simulation(seed, {0.05, 0.05, late}, size.zones,
                                               size.hosts_per_zone);
                simulation.advance(second);
                end_hub(simulation);
                const auto limit = late > 0 ? second + latest_datagram : second;
                CHECK(rounds_until_notices_known(simulation, limit) <= limit);
            }
        }
    }
}

TEST_CASE("exchange: a host that learns no new crash notices stops sending them") {
    for (const auto& size : fleet_sizes) {
        exchange_simulation simulation(1, {0.05, 0.05, 0.05}, size.zones, size.hosts_per_zone);
        simulation.advance(second);
        CHECK(rounds_until_notices_known(simulation, second) <= second);
        simulation.advance(
            static_cast<int>(crash_notice_schedule::repeated_for / exchange_simulation::round));
        for (const auto& host : simulation.hosts) {
            CHECK(host.most_notices == 0);
        }
    }
}

TEST_CASE("exchange: the crash notices of a digest are bounded") {
    exchange_simulation simulation(1, {}, 3, 40);
    simulation.advance(second);
    for (std::uint64_t i = 0; i < 2 * crash_notice_schedule::max_notices; ++i) {
        simulation.note(simulation.hosts.front(), {state::crash_notice_kind::answered, i, 0, 0ms});
    }
    simulation.advance();
    CHECK(simulation.hosts.front().most_notices == crash_notice_schedule::max_notices);
    for (int i = 0; i < second; ++i) {
        simulation.advance();
        for (const auto& host : simulation.hosts) {
            CHECK(host.most_notices <= crash_notice_schedule::max_notices);
        }
    }
}

TEST_CASE("exchange: a datagram of crash notices leaves the sender's loads and role as they are") {
    const state::host_entry own{"a", {"10.0.0.1", 1}, state::availability_zone_id("z"), 1};
    const state::time_point now{1h};
    host_directory hosts(own);
    digest_exchange exchange(hosts, {});
    state::peer_digest digest;
    digest.host = {"b", {"10.0.0.2", 1}, state::availability_zone_id("z"), 1};
    digest.scope = state::digest_scope::hub;
    digest.part = state::peer_digest::notices_only;
    digest.crash_notices.resize(1);
    const auto received = exchange.receive(digest, now);
    CHECK(received.is_accepted);
    CHECK_FALSE(received.is_load_source);
    CHECK(received.forward_to.empty());
    CHECK_FALSE(hosts.hears_hub(now));
}

TEST_CASE("exchange: a digest of an ended process is ignored until its successor is silent") {
    const state::host_entry own{"a", {"10.0.0.1", 1}, state::availability_zone_id("z"), 1};
    const state::time_point now{1h};
    host_directory hosts(own);
    state::peer_digest digest;
    digest.host = {"b", {"10.0.0.2", 1}, state::availability_zone_id("z"), 1};
    digest.incarnation = 7;
    CHECK(hosts.apply(digest, now));
    digest.incarnation = 6;
    CHECK_FALSE(hosts.apply(digest, now + 10ms));
    // The time of day of the host was set back before it started again.
    CHECK(hosts.apply(digest, now + host_directory::role_duration));
    digest.host = own;
    CHECK_FALSE(hosts.apply(digest, now));
}

TEST_CASE("exchange: changed observations are repeated, the others are refreshed") {
    observation_schedule schedule;
    state::time_point now{1h};
    std::vector<state::runner_observation> all(3);
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].id = state::endpoint_id("i-" + std::to_string(i));
    }
    CHECK(schedule.take_due(all, now).size() == 3);
    now += observation_schedule::repeated_for;
    CHECK(schedule.take_due(all, now).empty());
    all[1].is_silent = true;
    CHECK(schedule.take_due(all, now).size() == 1);
    CHECK(schedule.take_due(all, now + 100ms).size() == 1);
    now += observation_schedule::refresh_interval + 100ms;
    CHECK(schedule.take_due(all, now).size() == 3);
    schedule.reset();
    CHECK(schedule.take_due(all, now).size() == 3);
}

TEST_CASE("exchange: each host knows how many hosts' loads reach it") {
    for (const std::size_t hosts_per_zone : {1U, 3U, 6U, 7U, 20U, 40U}) {
        exchange_simulation simulation(1, {}, 3, hosts_per_zone);
        for (const auto& host : simulation.hosts) {
            CHECK(host.directory->heard_hosts(simulation.now) == 1); // nothing was heard yet
        }
        simulation.advance(20);
        for (const auto& host : simulation.hosts) {
            INFO(host.entry.name << " of " << simulation.hosts.size());
            CHECK(host.directory->heard_hosts(simulation.now) == simulation.hosts.size());
        }
    }
}

TEST_CASE("exchange: a host that is cut off or ended is soon no longer among the heard ones") {
    for (const auto& size : fleet_sizes) {
        exchange_simulation simulation(1, {}, size.zones, size.hosts_per_zone);
        simulation.advance(20);
        auto& cut_off = simulation.hosts.back();
        auto& ended = simulation.hosts[simulation.hosts.size() / 2];
        cut_off.is_cut_off = true;
        ended.is_up = false;
        // A hub counts a host until its role ends, and the others count what the hub reports.
        simulation.advance(4 * second);
        CHECK(cut_off.directory->heard_hosts(simulation.now) == 1);
        CHECK(cut_off.directory->host_count(simulation.now) > 1); // it remembers the others
        for (const auto& host : simulation.hosts) {
            if (host.is_up && !host.is_cut_off) {
                INFO(host.entry.name << " of " << simulation.hosts.size());
                CHECK(host.directory->heard_hosts(simulation.now) == hosts_up(simulation));
            }
        }
        cut_off.is_cut_off = false;
        simulation.restart(ended);
        simulation.advance(4 * second);
        for (const auto& host : simulation.hosts) {
            INFO(host.entry.name << " of " << simulation.hosts.size());
            CHECK(host.directory->heard_hosts(simulation.now) == simulation.hosts.size());
        }
    }
}

TEST_CASE("exchange: a host that starts anew hears the others after a few rounds") {
    for (const auto& size : fleet_sizes) {
        exchange_simulation simulation(1, {}, size.zones, size.hosts_per_zone);
        simulation.advance(20);
        auto& host = simulation.hosts.front();
        simulation.restart(host);
        CHECK(host.directory->heard_hosts(simulation.now) == 1);
        simulation.advance(2 * second);
        CHECK(host.directory->heard_hosts(simulation.now) == simulation.hosts.size());
    }
}

// Guards against hosts without the store that take their copies for current, because each hears
// of a younger age from another one, and then do not turn to the store themselves.
TEST_CASE("exchange: copies grow old at the pace of time while hosts pass their age around") {
    const auto hosts_per_zone = GENERATE(std::size_t{3}, std::size_t{10});
    constexpr tests::datagram_faults all_late{0, 0, 1};
    exchange_simulation simulation(1, all_late, 3, hosts_per_zone);
    simulation.advance(3 * second);
    simulation.is_store_away = true;
    simulation.advance(10 * second);
    // The longest delay of a datagram, on the way to a hub and from it.
    constexpr auto transfers = 2 * latest_datagram * exchange_simulation::round;
    for (const auto& host : simulation.hosts) {
        CHECK(
            host.directory->best_source(shared_table::runners, simulation.now).value().current_at <=
            simulation.now - 10s + transfers);
    }
}
