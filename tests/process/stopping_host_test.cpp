// Tests what a host knows and tells others while it finishes its calls after SIGTERM.
#include "edge_fixture.h"

#include <chrono>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// A host accepts connections for 2.8 s after SIGTERM. The rest is for a call that has begun.
constexpr auto accepting_time = 2'500ms;

void begin_stop(const edge_process& host) {
    host.process->send(SIGTERM);
    host.process->read_until("event=stopping");
}

} // namespace

TEST_CASE("edge: a stopping host sends calls to endpoints that were listed after SIGTERM") {
    edge_fixture fixture;
    const auto& host = *fixture.hosts[0];
    host.wait_until_ready();
    const auto served_by = [&] {
        return fetch(host.callers, http::verb::get, "/look/1", "", edge_fixture::headers("l")).body;
    };
    const auto limit = test_clock::now() + 10s;
    while (served_by() != "ran by p1 for workshop") {
        REQUIRE(test_clock::now() < limit);
    }
    const standin_process other({"runner", "--id=p2"});

    begin_stop(host);
    const auto end = test_clock::now() + accepting_time;
    fixture.write_entry("p2", "orders", other.port, "");
    fixture.write_entry("p1", "orders", fixture.plain.port, "", "draining");
    std::string last;
    while (last != "ran by p2 for workshop" && test_clock::now() < end) {
        last = served_by();
    }
    CHECK(last == "ran by p2 for workshop");
}

TEST_CASE("edge: a stopping host tells a host that starts which calls crash endpoints") {
    constexpr std::size_t runners = 9; // four groups and a spare
    edge_fixture fixture(1, runners);
    fixture.ask_until_served();
    for (const auto& runner : fixture.models) {
        runner->control(R"({"crash_on_part":"dead01"})");
    }
    const auto crash_an_endpoint = [&](int number) {
        const auto text = std::to_string(number);
        auto headers = edge_fixture::headers("c" + text, true);
        headers.emplace_back("Prompt-Prefix", "c0ffee:40,dead01:40,f" + text + ":20");
        return fetch(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "x" + text, headers);
    };
    const auto limit = test_clock::now() + 20s;
    for (int i = 0; crash_an_endpoint(i).body.find("request_quarantined") == std::string::npos;
         ++i) {
        REQUIRE(test_clock::now() < limit);
    }

    begin_stop(*fixture.hosts[0]);
    const auto end = test_clock::now() + accepting_time;
    const auto& started = fixture.add_host("edge-1");
    const std::string none = "\nsavoryrelay_fingerprints_quarantined 0\n";
    bool knows_quarantine = false;
    while (!knows_quarantine && test_clock::now() < end) {
        const auto metrics = fetch(started.metrics, http::verb::get, "/metrics").body;
        knows_quarantine =
            metrics.find("\nsavoryrelay_fingerprints_quarantined ") != std::string::npos &&
            metrics.find(none) == std::string::npos;
    }
    CHECK(knows_quarantine);
}
