// Tests what a host does with runners that say in their answers that they leave. Calls are counted
// at the runner.
#include "edge_fixture.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr auto poll_interval = 5ms;

void wait_until(const std::function<bool()>& condition) {
    const auto limit = test_clock::now() + 10s;
    while (!condition()) {
        REQUIRE(test_clock::now() < limit);
        std::this_thread::sleep_for(poll_interval);
    }
}

// Hosts before two runners without an engine.
struct two_runner_fixture : edge_fixture {
    explicit two_runner_fixture(std::size_t host_count = 1) : edge_fixture(host_count, 0) {
        write_entry("p2", "orders", other.port, "");
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            wait_until([&] { return metric(i, "savoryrelay_runners_listed ") == 2; });
        }
    }

    /// Returns the value of a metric of a host; 0 if it has none.
    [[nodiscard]] int metric(std::size_t host, const std::string& name) const {
        const auto text = fetch(hosts.at(host)->metrics, http::verb::get, "/metrics").body;
        const auto at = text.find('\n' + name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + 1 + name.size()));
    }

    [[nodiscard]] test_answer look(std::size_t host = 0) const {
        return fetch(hosts.at(host)->callers, http::verb::get, "/look/1", {},
                     headers("l" + std::to_string(++m_last_call)));
    }

    /// Sends calls through `host` until one has reached `plain`.
    void look_until_reached(std::size_t host = 0) const {
        const auto before = requests(plain);
        wait_until([&] {
            static_cast<void>(look(host));
            return requests(plain) > before;
        });
    }

    /// Checks that calls through `host` are answered and do not reach `plain`.
    void check_unused(std::size_t host = 0) const {
        constexpr int calls = 30;
        const auto before = requests(plain);
        for (int i = 0; i < calls; ++i) {
            CHECK(look(host).status == 200);
        }
        CHECK(requests(plain) == before);
    }

    [[nodiscard]] static int requests(const standin_process& runner) {
        return std::stoi(fetch(runner.port, http::verb::get, "/requests").body);
    }

    standin_process other{{"runner", "--id=p2"}};

private:
    mutable std::atomic<int> m_last_call{0};
};

} // namespace

// Guards against a host that learns of a leaving from the store alone.
TEST_CASE("edge: a runner that says in an answer that it leaves gets no calls without the store") {
    const two_runner_fixture fixture;
    fixture.store.control(R"({"down":true})");
    fixture.plain.control(R"({"leaving":true})");
    fixture.look_until_reached();
    fixture.check_unused();
}

// Guards against a host that reads the signal in successful answers only.
TEST_CASE("edge: a runner that says in a refusal that it leaves gets no calls") {
    const two_runner_fixture fixture;
    fixture.plain.control(R"({"leaving":true,"pause_calls":"0"})");
    fixture.look_until_reached();
    fixture.plain.control(R"({"leaving":false,"pause_calls":""})");
    fixture.check_unused();
}

// Guards against an entry that lags behind the answers, or comes from an old copy of the store.
TEST_CASE("edge: an entry that says ready does not undo a leaving but a new incarnation does") {
    const two_runner_fixture fixture;
    fixture.plain.control(R"({"leaving":true})");
    fixture.look_until_reached();
    fixture.plain.control(R"({"leaving":false})");
    fixture.write_entry("p1", "orders", fixture.plain.port, "");
    // Entries are applied in their order.
    fixture.write_entry("p3", "unused", fixture.plain.port, "");
    wait_until([&] { return fixture.metric(0, "savoryrelay_runners_listed ") == 3; });
    fixture.check_unused();

    constexpr std::uint64_t next_born = 2;
    fixture.write_entry("p1", "orders", fixture.plain.port, "", "ready", next_born);
    fixture.look_until_reached();
}

// Guards against hosts that each send a call before they know what another was told.
TEST_CASE("edge: a host learns from another one that a runner leaves") {
    const two_runner_fixture fixture(2);
    fixture.store.control(R"({"down":true})");
    fixture.plain.control(R"({"leaving":true})");
    fixture.look_until_reached(0);
    fixture.plain.control(R"({"leaving":false})");
    wait_until([&] {
        return fixture.metric(1, R"(savoryrelay_runners_leaving_total{source="peer"} )") == 1;
    });
    fixture.check_unused(1);
}

// Guards against a group that takes calls until the entry of its head says that it leaves.
TEST_CASE("edge: a group whose head says that it leaves is replaced before the entry says so") {
    const edge_fixture fixture(1, 5);
    const auto head = [&] {
        const auto body = fixture.ask_until_served().body;
        return body.substr(body.find("data: m") + 7, 1);
    }();
    const auto& runner = *fixture.models.at(std::stoul(head));
    runner.control(R"({"leaving":true})");
    wait_until([&] {
        const auto orders = fetch(runner.port, http::verb::get, "/orders").body;
        return orders.find(R"("close")") != std::string::npos;
    });
    const auto runs = fixture.runs(runner);
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.ask_until_served().status == 200);
    }
    CHECK(fixture.runs(runner) == runs);
}
