// Tests platform_client with objects, and service_client with bookings, against
// servers in the same process.
#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/platform_client/platform_client.h"
#include "savoryrelay/transport/service_client/service_client.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace savoryrelay;
using coordination::service_key_status;

namespace {

constexpr state::milliseconds timeout{2'000};

/// A server that gives the same answer to every request and stores the last request.
struct fixed_server {
    unsigned status;
    std::string body;
    std::string last_request; // method and target; read after the answer has arrived
    transport::io_threads threads{1};
    transport::http_server server{
        threads,
        "127.0.0.1",
        0,
        {},
        [this](transport::http_request request,
               transport::response_writer& writer) -> boost::asio::awaitable<void> {
            last_request =
                std::string(request.method_string()) + " " + std::string(request.target());
            auto fields = transport::content_type_field("application/json");
            co_await writer.send(status, std::move(fields), body);
        }};

    fixed_server(unsigned answer_status, std::string answer_body)
        : status(answer_status), body(std::move(answer_body)) {}
    fixed_server(const fixed_server&) = delete;
    fixed_server& operator=(const fixed_server&) = delete;
    ~fixed_server() {
        server.stop_accepting();
        threads.stop();
    }
};

/// A client, and a configuration of a service with one endpoint for each port.
struct service_fixture {
    transport::io_threads threads{1};
    state::snapshot_cell<state::configuration> configuration;
    transport::service_client client{threads, configuration, timeout};

    explicit service_fixture(const std::vector<std::uint16_t>& ports)
        : configuration(make_configuration(ports)) {}

    [[nodiscard]] state::attempt<coordination::service_key_report> read_back() {
        return state::collect([&] {
            return client.hooks().read_back(state::deployment_id("orders"), "workshop:k%201");
        });
    }
    [[nodiscard]] state::attempt<coordination::service_key_report> close_key() {
        return state::collect([&] {
            return client.hooks().close_key(state::deployment_id("orders"), "workshop:k%201");
        });
    }

private:
    static state::configuration make_configuration(const std::vector<std::uint16_t>& ports) {
        state::configuration result;
        result.revision = 1;
        for (const auto port : ports) {
            state::endpoint_config endpoint;
            endpoint.id = state::endpoint_id("orders-" + std::to_string(port));
            endpoint.deployment = state::deployment_id("orders");
            endpoint.address = "127.0.0.1";
            endpoint.port = port;
            result.endpoints.push_back(endpoint);
        }
        return result;
    }
};

constexpr const char* ran_text =
    R"({"state":"ran","status":201,"content_type":"text/plain","body":"first"})";
constexpr const char* closed_text = R"({"state":"closed"})";

} // namespace

// Guards against a deletion that fails because the object no longer exists, or that
// succeeds although the platform refused it.
TEST_CASE("objects are deleted over HTTP", "[transport][clients]") {
    const auto delete_with_status = [](unsigned status) {
        fixed_server platform(status, "{}");
        transport::io_threads threads(1);
        transport::platform_client client(threads, {"127.0.0.1", platform.server.port(), timeout});
        const auto hooks = client.hooks();
        auto deleted = state::collect([&] { return hooks.delete_object("record/a b"); });
        return std::pair{std::move(deleted), platform.last_request};
    };
    const auto [succeeded, request_line] = delete_with_status(200);
    CHECK(succeeded);
    CHECK(request_line == "DELETE /v1/objects/record%2Fa%20b");
    CHECK(delete_with_status(404).first);
    const auto refused = delete_with_status(503).first;
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == state::failure_kind::store_unavailable);
}

// Guards against a query for a different key than the one sent to the service.
TEST_CASE("a query for a booking contains the percent-encoded service key",
          "[transport][clients]") {
    fixed_server service(200, ran_text);
    service_fixture fixture({service.server.port()});
    const auto reported = fixture.read_back();
    REQUIRE(reported);
    CHECK(reported.value().key_status == service_key_status::ran);
    CHECK(reported.value().answer == state::booking_answer{201, "text/plain", "first"});
    CHECK(service.last_request == "GET /bookings/workshop%3Ak%25201");
    CHECK(fixture.close_key());
    CHECK(service.last_request == "POST /bookings/workshop%3Ak%25201/close");
}

// Guards against a result that is based on only some of the endpoints: a key that one
// of them may still run must not count as closed.
TEST_CASE("a key is closed only when every endpoint reports it closed", "[transport][clients]") {
    fixed_server closed(200, closed_text);
    fixed_server absent(404, "{}");
    fixed_server ran(200, ran_text);
    fixed_server broken(503, "{}");
    const auto ports = [](const fixed_server& one, const fixed_server& other) {
        return std::vector{one.server.port(), other.server.port()};
    };

    CHECK(service_fixture(ports(closed, closed)).close_key().value().key_status ==
          service_key_status::closed);
    CHECK(service_fixture(ports(closed, absent)).read_back().value().key_status ==
          service_key_status::absent);
    CHECK(service_fixture(ports(closed, ran)).close_key().value().key_status ==
          service_key_status::ran);
    CHECK(service_fixture(ports(broken, ran)).read_back().value().key_status ==
          service_key_status::ran);
    CHECK_FALSE(service_fixture(ports(closed, broken)).close_key());
    CHECK_FALSE(service_fixture(ports(absent, broken)).read_back());
    CHECK_FALSE(service_fixture({}).close_key());
}

// Guards against counting a key as closed because a service without the booking
// interface answered, or because the answer was malformed.
TEST_CASE("a malformed answer does not determine the status of a key", "[transport][clients]") {
    fixed_server no_interface(404, "{}");
    CHECK_FALSE(service_fixture({no_interface.server.port()}).close_key());
    for (const auto* text : {"", "{}", "[]", R"({"state":"done"})", R"({"state":"ran"})"}) {
        fixed_server damaged(200, text);
        CHECK_FALSE(service_fixture({damaged.server.port()}).read_back());
    }
}
