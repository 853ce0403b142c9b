// Tests entry hosts whose store returns from an older copy: what the store had acknowledged
// before holds until its writers could write it again, and what is written then is applied.
#include "paused_fixture.h"

#include <chrono>
#include <functional>
#include <string>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// Time in which a change is in force.
constexpr auto change_time = 2s;
// Time in which entries that the copy lacks may return, less the delays of the test.
constexpr auto within_grace = 1'700ms;
constexpr auto after_grace = 5s;
constexpr auto check_interval = 50ms;

struct restored_fixture : paused_fixture {
    explicit restored_fixture(std::size_t host_count = 1, std::size_t model_count = 0)
        : paused_fixture(host_count, model_count) {}

    void copy_store() const { post_to_store("/copy"); }
    void restore_store() const { post_to_store("/restore"); }

    /// Raises the version of the store without a change of the hosts' tables.
    void raise_version(int count = 20) const {
        for (int i = 0; i < count; ++i) {
            write_row("other", "row", std::to_string(i));
        }
    }

    void write_runner(const std::string& id, const standin_process& runner, int sequence,
                      const std::string& state = "ready", int born = 1) const {
        write_row("servers", id,
                  R"({"service":"orders","address":"127.0.0.1:)" + runner.port +
                      R"(","zone":"zone-a","slots":8,"state":")" + state + R"(","born":)" +
                      std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) + "}");
    }
    void remove_runner(const std::string& id) const { write_row("servers", id, "null"); }

    [[nodiscard]] unsigned call(std::size_t host = 0, const std::string& path = "/look/1",
                                const std::string& key = "k1") const {
        auto all = headers("c");
        all[2].second = key;
        return fetch(hosts.at(host)->callers, http::verb::get, path, "", all).status;
    }
    [[nodiscard]] bool is_served(std::size_t host = 0) const { return call(host) == 200; }

    /// Returns whether the configuration `version` is in force, with `key` as its only key.
    [[nodiscard]] bool is_in_force(int version, const std::string& key,
                                   std::size_t host = 0) const {
        for (int older = 1; older < version; ++older) {
            if (call(host, "/v" + std::to_string(older) + "/1", key) != 404) {
                return false;
            }
        }
        return call(host, "/v" + std::to_string(version) + "/1", key) == 200 &&
               (key == "k1" || call(host, "/look/1", "k1") == 401);
    }

    /// Returns whether the condition holds at all checks during `time`.
    static bool holds_for(std::chrono::milliseconds time, const std::function<bool()>& condition) {
        const auto end = test_clock::now() + time;
        while (test_clock::now() < end) {
            if (!condition()) {
                return false;
            }
            std::this_thread::sleep_for(check_interval);
        }
        return true;
    }

private:
    void post_to_store(const std::string& path) const {
        REQUIRE(fetch(store.port, http::verb::post, path).status == 200);
    }
};

// Plays a restore with two hosts that have given orders under two leases. `disturb` runs just
// after the restore.
void check_epochs_after_restore(const std::function<void(restored_fixture&)>& disturb) {
    restored_fixture fixture(2, 8); // three groups, a spare and one that is left
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    fixture.wait_until_open(3);
    fixture.copy_store();

    // The lease that the copy lacks, and orders under it.
    const auto first = *fixture.controller();
    const auto first_number = fixture.newest_fencing_number();
    fixture.hosts[first]->process->send(SIGKILL);
    fixture.hosts[first]->process->wait();
    fixture.paused = first; // is not asked any more
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    fixture.kill_model(fixture.open_heads().front());
    fixture.wait_until([&] { return fixture.newest_fencing_number() > first_number; });
    const auto newest_before = fixture.newest_fencing_number();
    fixture.raise_version();

    fixture.restore_store();
    disturb(fixture);
    fixture.wait_until([&] { return !fixture.controller().has_value(); });
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    const auto counts = fixture.order_counts();
    fixture.kill_model(fixture.open_heads().front());
    fixture.wait_until([&] {
        const auto now = fixture.order_counts();
        for (std::size_t model = 0; model < now.size(); ++model) {
            if (now[model] > counts[model]) {
                return true;
            }
        }
        return false;
    });
    std::this_thread::sleep_for(500ms);
    for (std::size_t model = 0; model < fixture.models.size(); ++model) {
        const auto orders = fixture.orders(model);
        for (std::size_t i = counts[model]; i < orders.size(); ++i) {
            INFO("m" << model << ": " << orders[i].text << ", before: " << newest_before);
            CHECK(orders[i].fencing_number > newest_before);
        }
    }
}

} // namespace

TEST_CASE("edge: a configuration is in force although a restored store gives it an old version") {
    restored_fixture fixture;
    fixture.wait_until([&] { return fixture.is_in_force(1, "k1"); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_configuration(2);
    fixture.wait_until([&] { return fixture.is_in_force(2, "k1"); });

    fixture.restore_store();
    fixture.write_configuration(3, "k2");
    CHECK(fixture.is_reached_within(change_time, [&] { return fixture.is_in_force(3, "k2"); }));
}

TEST_CASE("edge: a change is applied although the feed was past its version before a restore") {
    restored_fixture fixture;
    fixture.wait_until([&] { return fixture.is_in_force(1, "k1"); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_row("op", "note", "1"); // the feed goes on from this version
    std::this_thread::sleep_for(500ms);

    fixture.pause(0);
    fixture.restore_store();
    fixture.write_configuration(2, "k2");
    fixture.raise_version(30);
    fixture.write_row("op", "note", "2");
    fixture.resume();
    CHECK(fixture.is_reached_within(change_time, [&] { return fixture.is_in_force(2, "k2"); }));
}

TEST_CASE("edge: hosts keep a configuration that a restored store lacks and pass it to new ones") {
    restored_fixture fixture;
    fixture.wait_until([&] { return fixture.is_in_force(1, "k1"); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_configuration(5, "k2");
    fixture.wait_until([&] { return fixture.is_in_force(5, "k2"); });

    fixture.restore_store();
    const auto& second = fixture.add_host("edge-1");
    CHECK(fixture.holds_for(1s, [&] { return fixture.is_in_force(5, "k2"); }));
    second.wait_until_ready();
    CHECK(fixture.is_reached_within(change_time, [&] { return fixture.is_in_force(5, "k2", 1); }));
    CHECK(fixture.holds_for(after_grace, [&] {
        return fixture.is_in_force(5, "k2", 0) && fixture.is_in_force(5, "k2", 1);
    }));

    fixture.write_configuration(5, "k2");
    fixture.write_configuration(6, "k3");
    CHECK(fixture.is_reached_within(change_time, [&] {
        return fixture.is_in_force(6, "k3", 0) && fixture.is_in_force(6, "k3", 1);
    }));
}

TEST_CASE("edge: a runner that drained or left before a restore isn't called until it restarts") {
    const bool has_left = GENERATE(false, true);
    CAPTURE(has_left);
    restored_fixture fixture;
    const standin_process other{{"runner", "--id=p2"}};
    fixture.write_runner("p2", other, 1);
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.wait_until([&] { return fixture.is_served(); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_runner("p1", fixture.plain, 2, "draining");
    if (has_left) {
        fixture.remove_runner("p1");
    }
    const auto runs_calls_elsewhere = [&] {
        const auto before = fixture.runs(fixture.plain);
        for (int i = 0; i < 10; ++i) {
            if (!fixture.is_served()) {
                return false;
            }
        }
        return fixture.runs(fixture.plain) == before;
    };
    fixture.wait_until(runs_calls_elsewhere);
    std::this_thread::sleep_for(500ms);

    fixture.restore_store();
    CHECK(fixture.holds_for(after_grace, runs_calls_elsewhere));
    fixture.write_runner("p2", other, 2, "draining");
    fixture.write_runner("p1", fixture.plain, 1, "ready", 2);
    CHECK(fixture.is_reached_within(change_time, [&] {
        const auto before = fixture.runs(fixture.plain);
        return fixture.is_served() && fixture.runs(fixture.plain) != before;
    }));
}

TEST_CASE("edge: a runner that a restored store lacks is called for as long as it may return") {
    const bool returns = GENERATE(false, true);
    CAPTURE(returns);
    restored_fixture fixture;
    fixture.remove_runner("p1");
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.wait_until([&] { return fixture.is_served(); });

    fixture.restore_store();
    CHECK(fixture.holds_for(within_grace, [&] { return fixture.is_served(); }));
    if (returns) {
        fixture.write_runner("p1", fixture.plain, 2);
        CHECK(fixture.holds_for(after_grace, [&] { return fixture.is_served(); }));
        fixture.remove_runner("p1");
    }
    CHECK(fixture.is_reached_within(after_grace, [&] { return !fixture.is_served(); }));
}

TEST_CASE("edge: orders after a restore carry higher epochs than all before") {
    check_epochs_after_restore([](restored_fixture&) {});
}

TEST_CASE("edge: orders after a restore beside a restart carry higher epochs than all before") {
    check_epochs_after_restore([](restored_fixture& fixture) { fixture.add_host("edge-9"); });
}

TEST_CASE("edge: a host that missed a restore passes no rows to one that has seen it") {
    restored_fixture fixture;
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.wait_until([&] { return fixture.is_served(); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_runner("p1", fixture.plain, 2);
    std::this_thread::sleep_for(1s);

    fixture.pause(0);
    fixture.restore_store();
    fixture.remove_runner("p1");
    fixture.add_host("edge-1").wait_until_ready();
    fixture.wait_until([&] { return fixture.call(1) == 503; });
    fixture.store.control(R"({"down":true})");
    fixture.resume();
    CHECK(fixture.holds_for(after_grace, [&] { return !fixture.is_served(1); }));
}

TEST_CASE("edge: a host keeps runners that a peer lacks that knows only the restored store") {
    restored_fixture fixture;
    fixture.remove_runner("p1");
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.wait_until([&] { return fixture.is_served(); });

    fixture.pause(0);
    fixture.restore_store();
    fixture.write_row("servers", "note", "{}"); // gives the peer's copy a version to pass on
    fixture.add_host("edge-1").wait_until_ready();
    fixture.wait_until([&] { return fixture.call(1) == 503; });
    fixture.store.control(R"({"down":true})");
    fixture.resume();
    CHECK(fixture.holds_for(within_grace, [&] { return fixture.is_served(); }));
    fixture.store.control(R"({"down":false})");
    CHECK(fixture.is_reached_within(2 * after_grace, [&] { return !fixture.is_served(); }));
}

TEST_CASE("edge: an evacuation that a restored store lacks holds for as long as it may return") {
    restored_fixture fixture;
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.wait_until([&] { return fixture.is_served(); });
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_row("op", "evacuate/zone-a", "{}");
    fixture.wait_until([&] { return !fixture.is_served(); });

    fixture.restore_store();
    CHECK(fixture.holds_for(within_grace, [&] { return !fixture.is_served(); }));
    CHECK(fixture.is_reached_within(after_grace, [&] { return fixture.is_served(); }));
}

TEST_CASE("edge: an evacuation that a restored store has again may be taken back before it holds") {
    const bool is_taken_back = GENERATE(false, true);
    CAPTURE(is_taken_back);
    restored_fixture fixture;
    fixture.write_runner("p1", fixture.plain, 1);
    fixture.write_row("op", "evacuate/zone-a", "{}");
    std::this_thread::sleep_for(1s);
    fixture.copy_store();
    fixture.raise_version();
    fixture.write_row("op", "evacuate/zone-a", "null");
    fixture.wait_until([&] { return fixture.is_served(); });

    fixture.restore_store();
    CHECK(fixture.holds_for(within_grace, [&] { return fixture.is_served(); }));
    if (is_taken_back) {
        fixture.write_row("op", "evacuate/zone-a", "null");
        CHECK(fixture.holds_for(after_grace, [&] { return fixture.is_served(); }));
    } else {
        CHECK(fixture.is_reached_within(after_grace, [&] { return !fixture.is_served(); }));
    }
}
