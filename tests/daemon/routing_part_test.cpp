// Tests what routing_part makes of the load reports of an engine.
#include "daemon/routing_part.h"

#include "support/scripted_engine.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

/// Reports one more completed request each time. In front of an answer it sends the last one on
/// the same connection again.
engine_script repeats_reports() {
    return [mutex = std::make_shared<std::mutex>(),
            last = std::make_shared<std::map<const void*, std::string>>()](const auto& connection,
                                                                           const auto& request) {
        const std::scoped_lock lock(*mutex);
        const auto body = R"({"running":0,"queued":0,"cold":false,"completed":)" +
                          std::to_string(request.number) + "}";
        const auto own =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        auto& copy = (*last)[&connection];
        connection.send((request.number_on_connection > 1 ? copy : "") + own);
        copy = own;
    };
}

state::configuration configuration_of(const state::endpoint_id& id, std::uint16_t port) {
    state::configuration made;
    made.revision = 1;
    made.availability_zones = {{state::availability_zone_id("a"), "r", false}};
    state::deployment_config model;
    model.id = state::deployment_id("model");
    model.model = "gilding";
    made.deployments = {model};
    state::endpoint_config engine;
    engine.id = id;
    engine.deployment = model.id;
    engine.availability_zone = state::availability_zone_id("a");
    engine.address = "127.0.0.1";
    engine.port = port;
    made.endpoints = {engine};
    return made;
}

} // namespace

TEST_CASE("a late copy of an engine's load report is not taken for its restart") {
    const scripted_engine engine(repeats_reports());
    const state::endpoint_id id("e");
    const state::snapshot_cell<state::configuration> configuration{
        configuration_of(id, engine.port)};
    state::metrics metrics;
    transport::io_threads threads{2};
    daemon::routing_part routing(threads, configuration, metrics, state::availability_zone_id("a"),
                                 read_clock);
    auto& broken = routing.components().broken;
    auto& reports = metrics.counter_of("engine_reports_total");
    routing.start();
    const auto limit = read_clock() + 20s;
    constexpr std::uint64_t polls = 4; // two on each thread
    while (reports.value() < polls) {
        REQUIRE(read_clock() < limit);
        if (reports.value() < 3) {
            broken.add(id, 1, read_clock());
        }
        std::this_thread::sleep_for(20ms);
    }
    threads.stop();
    // A crash takes the attempts that broke off before it.
    CHECK(broken.take_crash(id, read_clock()));
}
