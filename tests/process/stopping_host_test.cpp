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
