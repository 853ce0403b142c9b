// Asks a running entry host through savoryrelayctl where a call would go.
#include "edge_fixture.h"

using namespace savoryrelay::tests;

TEST_CASE("edge: savoryrelayctl shows where a call would go without sending it") {
    const edge_fixture fixture;
    fixture.hosts.front()->wait_until_ready();
    REQUIRE(fixture.ask_until_served().status == 200);
    const auto runs_before = fixture.runs(*fixture.models.front());
    const auto daemon = "--daemon=127.0.0.1:" + fixture.hosts.front()->metrics;

    child_process asked("savoryrelayctl",
                        {"placement", daemon, "--host=a.example", "--path=/ask/1", "--key=k1",
                         "--model=gold", "--prompt-tokens=100", "--max-tokens=8"});
    CHECK(asked.read_until("customer").find("customer workshop") != std::string::npos);
    CHECK(asked.read_until("service model").find("to m") != std::string::npos);
    CHECK(asked.read_until("available").find("zone-a") != std::string::npos);
    CHECK(asked.wait() == 0);
    child_process unknown("savoryrelayctl", {"placement", daemon, "--host=a.example",
                                             "--path=/ask/1", "--key=k2", "--model=gold"});
    CHECK(unknown.read_until("refused").find("unknown_key") != std::string::npos);
    CHECK(unknown.wait() == 1);
    CHECK(fixture.runs(*fixture.models.front()) == runs_before);
}
