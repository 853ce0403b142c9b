// Tests calls to a plain service of which an entry still names a runner that has ended, at an
// address where another runner answers.
#include "edge_fixture.h"

#include <chrono>
#include <string>

using namespace savoryrelay::tests;

namespace {

/// Returns the attempts that endpoints have refused.
int refused_attempts(const edge_fixture& fixture) {
    const auto text = fetch(fixture.hosts[0]->metrics, http::verb::get, "/metrics").body;
    const std::string name =
        "savoryrelay_attempts_failed_total{endpoint=\"orders\",outcome=\"not_run\"} ";
    const auto at = text.find(name);
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
}

} // namespace

// Guards against call after call being sent to a runner that is gone, until its entry lapses.
TEST_CASE("edge: few calls try a runner at whose address another one answers") {
    const edge_fixture fixture(1, 0);
    const auto look = [&](int i) {
        return fetch(fixture.hosts[0]->callers, http::verb::get, "/look/1", "",
                     edge_fixture::headers("look-" + std::to_string(i)))
            .status;
    };
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    int calls = 0;
    while (look(calls++) != 200) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
    }
    fixture.write_entry("p0", "orders", fixture.plain.port, "");
    while (refused_attempts(fixture) == 0) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        look(calls++);
    }
    constexpr int measured_calls = 300;
    constexpr int max_refused = measured_calls / 10;
    const int refused_before = refused_attempts(fixture);
    int served = 0;
    for (int i = 0; i < measured_calls; ++i) {
        served += look(calls++) == 200 ? 1 : 0;
    }
    CHECK(served == measured_calls);
    CHECK(refused_attempts(fixture) - refused_before <= max_refused);
}
