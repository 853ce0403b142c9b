// Tests a single call that crashes each endpoint that runs it.
#include "edge_fixture.h"

#include <algorithm>
#include <chrono>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

TEST_CASE("edge: one call that crashes endpoints reaches no more of them than its route allows") {
    constexpr int max_attempts = 2; // of the route
    constexpr std::size_t runners = 17;
    edge_fixture fixture(1, runners); // eight groups and a spare
    const auto limit = std::chrono::steady_clock::now() + 20s;
    const std::string all_open = "\nsavoryrelay_groups{model=\"gold\",state=\"open\"} 8\n";
    while (fetch(fixture.hosts[0]->metrics, http::verb::get, "/metrics").body.find(all_open) ==
           std::string::npos) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
    }
    for (auto& runner : fixture.models) {
        runner->control(R"({"crash_on_part":"dead01"})");
    }
    auto headers = edge_fixture::headers("crash", true);
    headers.emplace_back("Prompt-Prefix", "c0ffee:40,dead01:40,f1:20");
    const auto answer = fetch(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "x", headers);
    // A runner that does not answer has crashed, but its process may still be ending.
    const auto crashed =
        std::count_if(fixture.models.begin(), fixture.models.end(), [](const auto& runner) {
            try {
                return fetch(runner->port, http::verb::get, "/report").status != 200;
            } catch (const boost::system::system_error&) {
                return true; // the connection was refused
            }
        });
    CAPTURE(answer.status, answer.body);
    CHECK(crashed >= 1);
    CHECK(crashed <= max_attempts);
}
