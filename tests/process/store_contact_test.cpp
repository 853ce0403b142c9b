// Tests what hosts do with the removal of a runner's entry while one of them is cut off from the
// store, and while the store is away from all of them.
#include "paused_fixture.h"

#include "support/cuttable_link.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;
using path = cuttable_link::path;

// A runner that leaves serves for this long after the store has accepted that its entry is gone.
constexpr auto leave_limit = 2'000ms;
// Entries that lapsed are back within two seconds of the store's return, less the delays of the
// test.
constexpr auto within_grace = 1'700ms;
constexpr auto after_grace = 5s;
// Longer than the shortest outage in which entries lapse.
constexpr auto outage = 2'000ms;

// Two hosts, each with a path of its own to the store.
struct contact_fixture : paused_fixture {
    contact_fixture() : paused_fixture(0, 0) {
        for (const std::string name : {"edge-0", "edge-1"}) {
            links.push_back(std::make_unique<cuttable_link>(store.port));
            store_port = links.back()->port;
            add_host(name);
        }
        for (const auto& host : hosts) {
            host->wait_until_ready();
        }
        wait_until([&] { return is_served(0) && is_served(1); });
    }

    [[nodiscard]] bool is_served(std::size_t host) const {
        return fetch(hosts.at(host)->callers, http::verb::get, "/look/1", "", headers("c"))
                   .status == 200;
    }
    [[nodiscard]] static int requests(const standin_process& runner) {
        return std::stoi(fetch(runner.port, http::verb::get, "/requests").body);
    }
    void remove_runner(const std::string& id) const { write_row("servers", id, "null"); }

    std::vector<std::unique_ptr<cuttable_link>> links;
};

} // namespace

// Guards against a host that regains the store and makes all hosts call runners that have left.
TEST_CASE("edge: a host that was cut off from the store delays the removal of no runner") {
    contact_fixture fixture;
    const standin_process other{{"runner", "--id=p2"}};
    fixture.write_entry("p2", "orders", other.port, "");
    const auto call_both = [&] { return fixture.is_served(0) && fixture.is_served(1); };
    fixture.wait_until([&] { return call_both() && fixture.requests(other) > 0; });

    fixture.links[1]->set(path::cut);
    fixture.hosts[1]->process->read_until("event=store_lost");
    std::this_thread::sleep_for(outage);
    fixture.links[1]->set(path::open);
    fixture.hosts[1]->process->read_until("event=store_regained");
    fixture.remove_runner("p1");
    const auto removed_at = test_clock::now();
    while (test_clock::now() < removed_at + leave_limit) {
        CHECK(call_both());
    }
    const auto before = fixture.requests(fixture.plain);
    while (test_clock::now() < removed_at + leave_limit + 500ms) {
        CHECK(call_both());
    }
    CHECK(fixture.requests(fixture.plain) == before);
}

// Guards against the loss of runners whose entries lapsed while the store was away, also on a
// host whose calls to the store outlast the outage.
TEST_CASE("edge: runners whose entries lapse in an outage are called for as long as they return") {
    const bool returns = GENERATE(true, false);
    CAPTURE(returns);
    contact_fixture fixture;
    fixture.links[0]->set(path::held);
    fixture.links[1]->set(path::cut);
    std::this_thread::sleep_for(outage / 2);
    fixture.remove_runner("p1");
    std::this_thread::sleep_for(outage / 2);
    fixture.links[0]->set(path::open);
    fixture.links[1]->set(path::open);

    const auto returned_at = test_clock::now();
    while (test_clock::now() < returned_at + within_grace) {
        CHECK(fixture.is_served(0));
        CHECK(fixture.is_served(1));
    }
    if (returns) {
        fixture.write_entry("p1", "orders", fixture.plain.port, "");
        while (test_clock::now() < returned_at + after_grace) {
            CHECK(fixture.is_served(0));
            CHECK(fixture.is_served(1));
        }
    } else {
        CHECK(fixture.is_reached_within(
            after_grace, [&] { return !fixture.is_served(0) && !fixture.is_served(1); }));
    }
}
