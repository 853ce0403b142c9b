// Tests through which hosts a host that is cut off connects to endpoints.
#include "savoryrelay/coordination/reach/relay_choice.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <string>

using namespace savoryrelay;
using coordination::relay_choice;
using coordination::relay_outcome;
using state::availability_zone_id;
using state::milliseconds;

namespace {

constexpr std::uint16_t port = 7340;

state::host_entry host(int number, const std::string& zone) {
    state::host_entry entry;
    entry.name = "edge-" + std::to_string(number);
    entry.address = {"10.0.0." + std::to_string(number), port};
    entry.availability_zone = availability_zone_id(zone);
    return entry;
}

struct relay_fixture {
    relay_choice relays{availability_zone_id("zone-a"),
                        [engine = std::mt19937_64(1)]() mutable { return engine(); }};
    std::vector<state::host_entry> hosts{host(1, "zone-a"), host(2, "zone-a"), host(3, "zone-b"),
                                         host(4, "zone-b"), host(5, "zone-c"), host(6, "zone-c")};
    state::time_point now = state::time_point() + std::chrono::hours(1);

    std::set<std::string> names(const std::string& endpoint_zone) {
        std::set<std::string> all;
        for (const auto& each :
             relays.candidates(hosts, availability_zone_id(endpoint_zone), now)) {
            all.insert(each.name);
        }
        return all;
    }
};

} // namespace

TEST_CASE("relay choice: hosts of the own zone and the endpoint's come first") {
    relay_fixture fixture;
    CHECK(fixture.names("zone-b") == std::set<std::string>{"edge-1", "edge-2", "edge-3", "edge-4"});
    CHECK(fixture.names("zone-c") == std::set<std::string>{"edge-1", "edge-2", "edge-5", "edge-6"});
    CHECK(fixture.names("zone-a").size() == relay_choice::max_tries);
}

TEST_CASE("relay choice: hosts in touch share the connections") {
    relay_fixture fixture;
    std::set<std::string> first;
    for (int i = 0; i < 100; ++i) {
        first.insert(
            fixture.relays.candidates(fixture.hosts, availability_zone_id("zone-b"), fixture.now)
                .front()
                .name);
    }
    CHECK(first.size() == 4);
}

TEST_CASE("relay choice: hosts that cannot help are passed over for a while") {
    relay_fixture fixture;
    fixture.relays.note(fixture.hosts[0], relay_outcome::cut_off, fixture.now);
    fixture.relays.note(fixture.hosts[1], relay_outcome::silent, fixture.now);
    fixture.relays.note(fixture.hosts[2], relay_outcome::unreachable, fixture.now);
    CHECK(fixture.names("zone-b").count("edge-1") == 0);
    CHECK(fixture.names("zone-b").count("edge-2") == 0);
    CHECK(fixture.names("zone-b").count("edge-3") == 1);
    fixture.now += relay_choice::refusal_pause;
    CHECK(fixture.names("zone-b").count("edge-1") == 1);
    fixture.relays.note(fixture.hosts[0], relay_outcome::cut_off, fixture.now);
    fixture.now += relay_choice::refusal_pause;
    CHECK(fixture.names("zone-b").count("edge-1") == 0); // refused again: twice as long
    fixture.now += relay_choice::silence_pause;
    CHECK(fixture.names("zone-b").count("edge-2") == 1);
}

TEST_CASE("relay choice: a host has no relay once its search has failed for a while") {
    relay_fixture fixture;
    CHECK_FALSE(fixture.relays.has_no_relay(fixture.now));
    CHECK(fixture.relays.needs_search(fixture.now));
    const auto search_until = fixture.now + relay_choice::search_time;
    for (; fixture.now < search_until; fixture.now += milliseconds(100)) {
        fixture.relays.note_no_candidate(fixture.now);
        CHECK_FALSE(fixture.relays.has_no_relay(fixture.now));
    }
    fixture.relays.note(fixture.hosts[0], relay_outcome::cut_off, fixture.now);
    CHECK(fixture.relays.has_no_relay(fixture.now));

    fixture.relays.note(fixture.hosts[0], relay_outcome::connected, fixture.now);
    CHECK_FALSE(fixture.relays.has_no_relay(fixture.now));
    CHECK_FALSE(fixture.relays.needs_search(fixture.now));
}

TEST_CASE("relay choice: a failure after a long calm is no failed search yet") {
    relay_fixture fixture;
    fixture.relays.note_no_candidate(fixture.now);
    fixture.now += relay_choice::search_age;
    fixture.relays.note_no_candidate(fixture.now);
    CHECK_FALSE(fixture.relays.has_no_relay(fixture.now));
}

TEST_CASE("relay choice: a zone whose hosts are all cut off comes last") {
    relay_fixture fixture;
    fixture.hosts.push_back(host(7, "zone-a"));
    fixture.hosts.push_back(host(8, "zone-a"));
    for (const std::size_t index : {0U, 1U, 6U}) {
        CHECK(fixture.names("zone-b").size() == relay_choice::max_tries);
        fixture.relays.note(fixture.hosts[index], relay_outcome::cut_off, fixture.now);
    }
    CHECK(fixture.names("zone-b") == std::set<std::string>{"edge-3", "edge-4", "edge-5", "edge-6"});
    // One of them in touch is enough to ask the others again.
    fixture.relays.note(fixture.hosts[7], relay_outcome::connected, fixture.now);
    fixture.now += relay_choice::refusal_pause;
    CHECK(fixture.names("zone-a") == std::set<std::string>{"edge-1", "edge-2", "edge-7", "edge-8"});
}
