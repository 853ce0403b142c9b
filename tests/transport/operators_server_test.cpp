// Tests the operators' interface: routing, refusals and drains without a socket, and
// the cxxtools server on a loopback address.
#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/operators/operators_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace savoryrelay;
using state::failure_kind;
using transport::answer_operator_request;

namespace {

constexpr const char* document = "availability_zones:\n  - {id: zone-a}\n"
                                 "deployments:\n  - {id: orders, kind: service}\n"
                                 "endpoints:\n  - {id: orders-1, deployment: orders, "
                                 "availability_zone: zone-a, address: 127.0.0.1, port: 1}\n";

// Stores the current revision of a configuration in memory.
struct fake_configuration {
    protocol::configuration_revision current{7, "alice", document};
    std::vector<transport::operator_change> changes;

    transport::operator_hooks hooks() {
        return {
            .status =
                [] {
                    protocol::daemon_status status;
                    status.member = state::member_id("m1");
                    status.open_requests = 3;
                    return status;
                },
            .read_configuration = [this](std::optional<std::uint64_t> revision)
                -> state::result<protocol::configuration_revision> {
                if (revision && *revision != current.revision) {
                    return state::fail(failure_kind::not_found, "no such revision");
                }
                return current;
            },
            .submit = [this](const std::string& text, std::uint64_t expected,
                             const std::string& operator_name,
                             state::time_point) -> state::result<std::uint64_t> {
                if (expected != current.revision) {
                    return state::fail(failure_kind::revision_conflict,
                                       "revision 7 by alice is present");
                }
                current = {expected + 1, operator_name, text};
                return current.revision;
            },
            .changed = [this](const transport::operator_change& each) { changes.push_back(each); },
            .now = [] { return state::time_point{}; },
        };
    }
};

} // namespace

TEST_CASE("a submission needs an operator and the current revision", "[operators]") {
    // Guards against a change without an operator's name, and against a submission
    // that overwrites a newer revision.
    fake_configuration fake;
    const auto hooks = fake.hooks();
    CHECK(answer_operator_request({"PUT", "/configuration", "expected=7", "", document}, hooks)
              .status == 400);
    CHECK(answer_operator_request({"PUT", "/configuration", "expected=7", "a\nb", document}, hooks)
              .status == 400);
    CHECK(answer_operator_request({"PUT", "/configuration", "", "bob", document}, hooks).status ==
          400);
    CHECK(answer_operator_request({"PUT", "/configuration", "expected=7x", "bob", document}, hooks)
              .status == 400);
    CHECK(fake.changes.empty());

    const auto conflicting =
        answer_operator_request({"PUT", "/configuration", "expected=6", "bob", document}, hooks);
    CHECK(conflicting.status == 409);
    const auto failure = protocol::decode_operator_failure(conflicting.body);
    REQUIRE(failure);
    CHECK(failure->kind == failure_kind::revision_conflict);
    CHECK(failure->detail.find("alice") != std::string::npos);

    const auto accepted =
        answer_operator_request({"PUT", "/configuration", "expected=7", "bob", document}, hooks);
    CHECK(accepted.status == 200);
    CHECK(state::collect([&] {
              return protocol::decode_accepted_revision(accepted.body);
          }).value() == 8);
    REQUIRE(fake.changes.size() == 2);
    CHECK(fake.changes[0].failure);
    CHECK(fake.changes[1].to_revision == 8);
    CHECK(fake.changes[1].operator_name == "bob");
}

TEST_CASE("a drain sets the drained flag of one item and a return clears it", "[operators]") {
    // Guards against a drain that changes another item or removes a field.
    fake_configuration fake;
    const auto hooks = fake.hooks();
    const auto body = R"({"endpoint": "orders-1"})";
    CHECK(answer_operator_request({"POST", "/drain", "", "bob", body}, hooks).status == 200);
    CHECK(fake.current.document.find("port: 1, drained: true") != std::string::npos);
    CHECK(fake.current.document.find("{id: zone-a}") != std::string::npos);
    CHECK(answer_operator_request({"POST", "/return", "", "bob", body}, hooks).status == 200);
    CHECK(fake.current.document.find("drained: false") != std::string::npos);
    CHECK(answer_operator_request(
              {"POST", "/drain", "", "bob", R"({"availability_zone": "zone-a"})"}, hooks)
              .status == 200);
    CHECK(fake.current.document.find("{id: zone-a, drained: true}") != std::string::npos);
    CHECK(fake.current.revision == 10);
    CHECK(fake.changes.back().subject == "availability_zone zone-a");

    CHECK(answer_operator_request({"POST", "/drain", "", "bob", R"({"endpoint": "x"})"}, hooks)
              .status == 404);
    for (const auto* wrong : {"", "[]", "{}", R"({"endpoint": 1})", R"({"endpoint": ""})",
                              R"({"endpoint": "a", "availability_zone": "b"})"}) {
        CHECK(answer_operator_request({"POST", "/drain", "", "bob", wrong}, hooks).status == 400);
    }
    CHECK(fake.current.revision == 10);
}

TEST_CASE("other paths and methods are refused", "[operators]") {
    fake_configuration fake;
    const auto hooks = fake.hooks();
    CHECK(answer_operator_request({"GET", "/configuration/7", "", "", ""}, hooks).status == 200);
    CHECK(answer_operator_request({"GET", "/configuration/6", "", "", ""}, hooks).status == 404);
    CHECK(answer_operator_request({"GET", "/configuration/seven", "", "", ""}, hooks).status ==
          400);
    CHECK(answer_operator_request({"DELETE", "/configuration", "", "bob", ""}, hooks).status ==
          404);
    CHECK(answer_operator_request({"GET", "/statusx", "", "", ""}, hooks).status == 404);
}

TEST_CASE("the server answers over a socket and refuses a large body", "[operators]") {
    // Guards against headers, queries and bodies that cxxtools delivers in another form
    // than the routing expects, and against unlimited memory for a body.
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    fake_configuration fake;
    asio::io_context context(1);
    const auto port = [&] {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }();
    transport::operators_server server("127.0.0.1", port, fake.hooks());

    const auto exchange = [&](http::verb method, std::string target, std::string body) {
        transport::http_request request{method, target, 11};
        request.set(http::field::host, "127.0.0.1");
        request.set("Savoryrelay-Operator", "bob");
        request.body() = std::move(body);
        request.prepare_payload();
        const auto run = [&]() -> asio::awaitable<unsigned> {
            constexpr state::milliseconds timeout{5'000};
            transport::endpoint_connection connection(context);
            if (co_await connection.connect("127.0.0.1", port, timeout)) {
                co_return 0U;
            }
            // The server may answer and close before it has read everything.
            (void)co_await connection.send(request, timeout);
            if (co_await connection.read_header(timeout)) {
                co_return 0U;
            }
            co_return connection.status();
        };
        auto done = asio::co_spawn(context, run(), asio::use_future);
        context.restart();
        context.run();
        return done.get();
    };
    CHECK(exchange(http::verb::get, "/status", "") == 200);
    CHECK(exchange(http::verb::put, "/configuration?expected=6", document) == 409);
    CHECK(exchange(http::verb::put, "/configuration?expected=7", document) == 200);
    CHECK(fake.current.operator_name == "bob");
    const auto large = exchange(http::verb::put, "/configuration?expected=8",
                                std::string(transport::max_operator_body_bytes + 1, '#'));
    CHECK(large != 200);
    CHECK(fake.current.revision == 8);
    CHECK(exchange(http::verb::get, "/status", "") == 200);
}
