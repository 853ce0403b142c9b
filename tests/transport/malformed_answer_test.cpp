// Tests that each client of an endpoint takes an answer which breaks the grammar or the framing
// rules of HTTP/1.1 for a failed exchange, and that the error names the defect.
#include "support/malformed_answers.h"
#include "support/scripted_endpoint.h"

#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/service_client/service_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace savoryrelay;

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr state::milliseconds step_timeout{2'000};

std::uint16_t port_of(const tests::scripted_endpoint& endpoint) {
    return static_cast<std::uint16_t>(std::stoi(endpoint.port));
}

struct read_result {
    error_code failed;
    std::string body;
    bool is_reusable = false;
};

// Requests the answer of the endpoint at `port` and reads it with a small buffer.
asio::awaitable<read_result> read_answer(asio::io_context& context, std::uint16_t port) {
    read_result result;
    transport::endpoint_connection connection(context);
    result.failed = co_await connection.connect("127.0.0.1", port, step_timeout);
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    if (!result.failed) {
        result.failed = co_await connection.send(request, step_timeout);
    }
    if (!result.failed) {
        result.failed = co_await connection.read_header(step_timeout);
    }
    std::string buffer(3, '\0');
    while (!result.failed) {
        const auto [failed, size] =
            co_await connection.read_some(asio::buffer(buffer), step_timeout);
        result.failed = failed;
        result.body.append(buffer, 0, size);
        if (!failed && size == 0) {
            result.is_reusable = connection.reusable();
            break;
        }
    }
    co_return result;
}

read_result read_bytes(const std::string& bytes) {
    tests::scripted_endpoint endpoint([&](const std::string&) { return bytes; });
    transport::io_threads threads{1};
    auto result =
        asio::co_spawn(threads.context(0), read_answer(threads.context(0), port_of(endpoint)),
                       asio::use_future)
            .get();
    threads.stop();
    return result;
}

} // namespace

TEST_CASE("a malformed answer is an error that names its defect") {
    // Guards against an attempt whose log line does not tell what the endpoint sent.
    for (const auto& answer : tests::malformed_answers("body")) {
        CAPTURE(answer.bytes);
        const auto result = read_bytes(answer.bytes);
        CHECK(result.failed.message() == answer.defect);
        CHECK_FALSE(transport::is_closed_by_peer(result.failed));
        CHECK(result.body.empty());
    }
}

TEST_CASE("a fault within a body ends the answer with an error that names it") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto loose = read_bytes(head + "4\r\nbodyHTTP/1.1 200 OK\r\n\r\n");
    CHECK(loose.failed.message() == "unterminated_chunk");
    CHECK(loose.body == "body");
    const auto trailer = read_bytes(head + "4\r\nbody\r\n0\r\nX-Note: a\r\n\r\n");
    CHECK(trailer.failed.message() == "unannounced_trailer");
    // The end of the connection within an answer is not a fault of its bytes.
    const auto cut = read_bytes(head + "4\r\nbody\r\n");
    CHECK(transport::is_closed_by_peer(cut.failed));
    CHECK(cut.body == "body");
}

TEST_CASE("sound answers are read whole, and tell whether their connection may be used again") {
    const auto chunked = read_bytes("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    CHECK_FALSE(chunked.failed);
    CHECK(chunked.body == "body");
    CHECK(chunked.is_reusable);
    const auto with_length = read_bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(with_length.body == "body");
    CHECK(with_length.is_reusable);
    const auto with_rest = read_bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyrest");
    CHECK(with_rest.body == "body");
    CHECK_FALSE(with_rest.is_reusable);
    const auto until_close = read_bytes("HTTP/1.1 200 OK\r\n\r\nbody");
    CHECK_FALSE(until_close.failed);
    CHECK(until_close.body == "body");
    CHECK_FALSE(until_close.is_reusable);
}

TEST_CASE("a malformed answer of a service does not determine the status of a key") {
    // Guards against a key that counts as closed, so that the booking is made again.
    for (const auto& answer : tests::malformed_answers(R"({"state":"closed"})")) {
        CAPTURE(answer.bytes);
        tests::scripted_endpoint endpoint([&](const std::string&) { return answer.bytes; });
        state::endpoint_config service;
        service.id = state::endpoint_id("orders-1");
        service.deployment = state::deployment_id("orders");
        service.address = "127.0.0.1";
        service.port = port_of(endpoint);
        state::configuration configuration;
        configuration.revision = 1;
        configuration.endpoints.push_back(service);
        const state::snapshot_cell<state::configuration> cell(configuration);
        transport::io_threads threads{1};
        transport::service_client client(threads, cell, step_timeout);
        const auto hooks = client.hooks();
        const auto closed =
            state::collect([&] { return hooks.close_key(service.deployment, "workshop:k1"); });
        REQUIRE_FALSE(closed);
        CHECK(closed.error().kind == state::failure_kind::endpoint_failed);
        const auto read =
            state::collect([&] { return hooks.read_back(service.deployment, "workshop:k1"); });
        CHECK_FALSE(read);
        threads.stop();
    }
}
