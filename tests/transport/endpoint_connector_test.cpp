// Tests over which paths a host connects to endpoints, and what it concludes from failures.
#include "savoryrelay/transport/reach/endpoint_connector.h"

#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/relay/relay_server.h"
#include "support/relay_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using transport::connection_path;
using transport::endpoint_contact;

namespace asio = boost::asio;

namespace {

state::runner_record endpoint_record(const std::string& id, std::uint16_t port) {
    state::runner_record record;
    record.id = state::endpoint_id(id);
    record.started_ms = 5;
    record.address = "127.0.0.1";
    record.port = port;
    return record;
}

// A host that knows three endpoints, and one other host that knows them too. The endpoint "i-1"
// is that of the relay's fixture; the addresses of the others refuse connections unless a test
// opens them.
struct connector_fixture {
    connector_fixture() {
        state::host_entry other;
        other.name = "edge-1";
        other.address = {"127.0.0.1", 1};
        hosts.push_back(other);
        for (const std::string id : {"i-1", "i-2", "i-3"}) {
            endpoints.push_back(endpoint_record(id, closed_port()));
        }
    }
    ~connector_fixture() { threads.stop(); }
    connector_fixture(const connector_fixture&) = delete;
    connector_fixture& operator=(const connector_fixture&) = delete;

    static std::uint16_t closed_port() {
        const raw_listener ended;
        return ended.port();
    }

    template <typename Value>
    Value run(asio::awaitable<Value> work) {
        return asio::co_spawn(threads.context(0), std::move(work), asio::use_future).get();
    }

    void cut_off() {
        for (const auto& endpoint : endpoints) {
            reach.note_unreached(endpoint.id, endpoints.size(), now());
        }
        REQUIRE(connector.path() == connection_path::relayed);
    }

    boost::system::error_code open(transport::endpoint_connection& connection) {
        return run(connector.open(connection, endpoints[0], state::milliseconds(1'000)));
    }

    static state::time_point now() { return std::chrono::steady_clock::now(); }

    relay_fixture relay;
    transport::io_threads threads{1};
    std::vector<state::host_entry> hosts;
    std::vector<state::runner_record> endpoints;
    coordination::endpoint_reach reach{[] { return std::uint64_t{0}; }};
    coordination::relay_choice relays{state::availability_zone_id("zone-a"),
                                      [] { return std::uint64_t{0}; }};
    transport::endpoint_connector connector{reach,
                                            relays,
                                            {.hosts = [this](auto) { return hosts; },
                                             .endpoints = [this](auto) { return endpoints; },
                                             .now = now,
                                             .relay_port = relay.server.port()}};
};

} // namespace

TEST_CASE("connector: a host that is cut off connects through another one") {
    connector_fixture fixture;
    transport::endpoint_connection connection(fixture.threads.context(0));
    CHECK(fixture.open(connection));
    CHECK(fixture.connector.path() == connection_path::direct);
    connection.close();
    fixture.cut_off();
    CHECK_FALSE(fixture.open(connection));
    CHECK(connection.is_relayed());
}

TEST_CASE("connector: an endpoint that ends is told from a host that is cut off") {
    // Guards against crash evidence for the host's own fault, which quarantines prompts.
    connector_fixture fixture;
    const auto check = [&] {
        return fixture.run(
            fixture.connector.check(fixture.threads.context(0), fixture.endpoints[0]));
    };
    raw_listener other;
    fixture.endpoints[1].port = other.port();
    fixture.endpoints[2].port = other.port();
    CHECK(check() == endpoint_contact::refuses);

    // Now none is in reach, and the other host says that the endpoint lives.
    fixture.endpoints[1].port = connector_fixture::closed_port();
    fixture.endpoints[2].port = connector_fixture::closed_port();
    CHECK(check() != endpoint_contact::refuses);
    fixture.cut_off();
    CHECK(check() == endpoint_contact::accepts);

    // Neither is the other host.
    fixture.relay.set_route(protocol::relay_reply::cut_off);
    CHECK(check() == endpoint_contact::unknown);
}

TEST_CASE("connector: a host is stranded after its search for a relay has failed for a while") {
    connector_fixture fixture;
    fixture.cut_off();
    fixture.relay.set_route(protocol::relay_reply::cut_off);
    transport::endpoint_connection connection(fixture.threads.context(0));
    CHECK(transport::endpoint_connector::is_own_failure(fixture.open(connection)));
    CHECK_FALSE(fixture.connector.is_stranded());
    CHECK(eventually([&] {
        fixture.open(connection);
        return fixture.connector.is_stranded();
    }));
}

TEST_CASE("connector: an abandoned open blames no relay and asks no other") {
    connector_fixture fixture;
    fixture.cut_off();
    // A host that accepts and never replies.
    raw_listener silent;
    transport::endpoint_connector connector(fixture.reach, fixture.relays,
                                            {.hosts = [&](auto) { return fixture.hosts; },
                                             .endpoints = [&](auto) { return fixture.endpoints; },
                                             .now = connector_fixture::now,
                                             .relay_port = silent.port()});
    transport::endpoint_connection connection(fixture.threads.context(0));
    auto opened =
        asio::co_spawn(fixture.threads.context(0),
                       connector.open(connection, fixture.endpoints[0], state::milliseconds(1'000)),
                       asio::use_future);
    raw_socket accepted;
    silent.accept(accepted);
    asio::post(fixture.threads.context(0), [&] { connection.close(); });
    CHECK(opened.get());
    const auto zone = state::availability_zone_id("zone-a");
    CHECK(fixture.relays.candidates(fixture.hosts, zone, connector_fixture::now()).size() == 1);
}

TEST_CASE("connector: the end of an answer without a length is confirmed by its relay") {
    connector_fixture fixture;
    fixture.cut_off();
    transport::endpoint_connection connection(fixture.threads.context(0));
    REQUIRE_FALSE(fixture.open(connection));
    raw_socket reached;
    fixture.relay.endpoint.accept(reached);
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    REQUIRE_FALSE(fixture.run(connection.send(request, state::milliseconds(1'000))));
    reached.send("HTTP/1.1 200 OK\r\n\r\nhalf");
    REQUIRE_FALSE(fixture.run(connection.read_header(state::milliseconds(1'000))));
    REQUIRE(connection.ends_answer_by_closing());
    const auto is_confirmed = [&] {
        return fixture.run(fixture.connector.confirm_end(connection, fixture.endpoints[0]));
    };
    CHECK(is_confirmed());
    fixture.relay.server.stop_accepting(); // as a relay whose process has ended
    CHECK(eventually([&] { return !is_confirmed(); }));
}
