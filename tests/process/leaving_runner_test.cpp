// Tests what a host does with what runners say in their answers: that they leave, and that they
// want a pause. Each is counted at the runner.
#include "edge_fixture.h"

#include <atomic>
#include <chrono>
#include <cmath>
#include <functional>
#include <optional>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr auto poll_interval = 5ms;
// After this time, the rules count the requests of a host to a runner that it has told of a
// pause, and allow two of them.
constexpr auto pause_grace = 500ms;
constexpr int allowed_in_pause = 2;

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

// Guards against a host that goes on sending calls to a runner that asked for a pause.
TEST_CASE("edge: a runner that asks for a pause in a burst gets no requests until its end") {
    const two_runner_fixture fixture;
    constexpr auto pause = 2'000ms;
    fixture.plain.control(R"({"pause_calls":"2"})");
    std::atomic<bool> is_over{false};
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            while (!is_over) {
                unanswered += fixture.look().status == 200 ? 0 : 1;
            }
        });
    }
    wait_until([&] { return two_runner_fixture::requests(fixture.plain) > 0; });
    const auto asked_at = test_clock::now();
    std::this_thread::sleep_until(asked_at + pause_grace);
    const auto before = two_runner_fixture::requests(fixture.plain);
    std::this_thread::sleep_until(asked_at + pause - 100ms);
    const auto after = two_runner_fixture::requests(fixture.plain);
    fixture.plain.control(R"({"pause_calls":""})");
    // It gets calls again afterwards.
    wait_until([&] { return two_runner_fixture::requests(fixture.plain) > after; });
    const auto used_again_at = test_clock::now();
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(after - before <= allowed_in_pause);
    CHECK(unanswered == 0);
    CHECK(used_again_at - asked_at < pause + 1s);
}

// Guards against report requests and orders to a runner that wants nothing from the host.
TEST_CASE("edge: the head of a group that asks for a pause gets no reports and orders either") {
    const edge_fixture fixture(1, 2);
    const auto body = fixture.ask_until_served().body;
    const auto& head = *fixture.models.at(std::stoul(body.substr(body.find("data: m") + 7, 1)));
    constexpr auto pause = 3'000ms;
    head.control(R"({"pause_calls":"3"})");
    CHECK(fixture.ask("paused").status == 503);
    const auto asked_at = test_clock::now();
    std::this_thread::sleep_until(asked_at + pause_grace);
    const auto before = two_runner_fixture::requests(head);
    std::this_thread::sleep_until(asked_at + pause - 100ms);
    CHECK(two_runner_fixture::requests(head) - before <= allowed_in_pause);
    head.control(R"({"pause_calls":""})");
    CHECK(fixture.ask_until_served().status == 200);
}

// Guards against calls that wait, or come back too early, although no runner can take them.
TEST_CASE("edge: a call that only a paused runner could take is refused with the pause's end") {
    const edge_fixture fixture(1, 0);
    wait_until([&] {
        return fetch(fixture.hosts[0]->callers, http::verb::get, "/look/1", {},
                     edge_fixture::headers("first"))
                   .status == 200;
    });
    constexpr double pause_s = 2.5;
    fixture.plain.control(R"({"pause_calls":"2.5"})");
    const auto before = two_runner_fixture::requests(fixture.plain);
    for (const auto* id : {"refused", "next"}) {
        const auto sent_at = test_clock::now();
        const auto answer = fetch(fixture.hosts[0]->callers, http::verb::get, "/look/1", {},
                                  edge_fixture::headers(id));
        CAPTURE(id, answer.body, answer.retry_after);
        CHECK(answer.status == 503);
        REQUIRE_FALSE(answer.retry_after.empty());
        CHECK(std::stod(answer.retry_after) <= pause_s);
        CHECK(std::stod(answer.retry_after) > pause_s - 1);
        CHECK(test_clock::now() - sent_at < 500ms);
    }
    CHECK(two_runner_fixture::requests(fixture.plain) == before + 1);
}

// Guards against a damaged field that keeps a runner out, or a reader that fails on it.
TEST_CASE("edge: a pause that cannot be read keeps no runner out and is counted") {
    const two_runner_fixture fixture;
    for (const auto* text : {"-5", "soon", "1e9"}) {
        fixture.plain.control(std::string(R"({"pause_calls":")") + text + R"("})");
        fixture.look_until_reached();
    }
    fixture.plain.control(R"({"pause_calls":""})");
    fixture.look_until_reached();
    CHECK(fixture.metric(0, R"(savoryrelay_runner_pauses_damaged_total{reading="unreadable"} )") >=
          3);
}
