// Tests exchanges with endpoints through a tunnel, and the pool that keeps them apart from direct
// ones.
#include "savoryrelay/transport/http/endpoint_connection.h"

#include "support/persistent_endpoint.h"
#include "support/relay_fixture.h"
#include "support/scripted_endpoint.h"

#include "savoryrelay/transport/http/endpoint_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <memory>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::system::error_code;
using transport::connection_path;
using transport::endpoint_connection;

namespace {

constexpr state::milliseconds step_timeout{5'000};
const state::endpoint_id known_endpoint("i-1");
constexpr std::uint64_t known_start = 5;

std::uint16_t port_of(const std::string& text) {
    return static_cast<std::uint16_t>(std::stoi(text));
}

/// Runs `step` on the thread of the asking host. Returns its result.
template <typename Step>
auto run(transport::io_threads& threads, Step step) {
    return asio::co_spawn(threads.context(0), std::move(step), asio::use_future).get();
}

/// The host that asks. Its connection and pool are used on its thread.
class asking_host {
public:
    asking_host() = default;
    asking_host(const asking_host&) = delete;
    asking_host& operator=(const asking_host&) = delete;
    ~asking_host() { threads.stop(); }

    transport::relayed_connect connect(std::uint16_t relay_port,
                                       const state::endpoint_id& id = known_endpoint,
                                       state::milliseconds timeout = step_timeout) {
        return run(threads, [&]() -> asio::awaitable<transport::relayed_connect> {
            connection = std::make_unique<endpoint_connection>(threads.context(0));
            const state::member_address relay{"127.0.0.1", relay_port};
            co_return co_await connection->connect_through(relay, id, known_start, timeout);
        });
    }

    error_code connect_directly(std::uint16_t port) {
        return run(threads, [&]() -> asio::awaitable<error_code> {
            connection = std::make_unique<endpoint_connection>(threads.context(0));
            co_return co_await connection->connect("127.0.0.1", port, step_timeout);
        });
    }

    /// Sends a request and returns the whole body of the answer, or the error.
    std::pair<error_code, std::string> exchange(std::size_t body_bytes) {
        return run(threads, [&]() -> asio::awaitable<std::pair<error_code, std::string>> {
            transport::http_request request{boost::beast::http::verb::post, "/", 11};
            request.body().assign(body_bytes, 'x');
            request.prepare_payload();
            if (const auto failed = co_await connection->send(request, step_timeout)) {
                co_return std::pair{failed, std::string{}};
            }
            if (const auto failed = co_await connection->read_header(step_timeout)) {
                co_return std::pair{failed, std::string{}};
            }
            std::string body;
            std::array<char, 4096> buffer{};
            while (true) {
                const auto [failed, size] =
                    co_await connection->read_some(asio::buffer(buffer), step_timeout);
                if (failed || size == 0) {
                    co_return std::pair{failed, body};
                }
                body.append(buffer.data(), size);
            }
        });
    }

    void close() {
        run(threads, [&]() -> asio::awaitable<void> {
            connection.reset();
            co_return;
        });
    }

    transport::io_threads threads{1};
    std::unique_ptr<endpoint_connection> connection; // closed on the thread, or after its stop
};

} // namespace

TEST_CASE("a whole exchange passes through a tunnel", "[transport][relay]") {
    relay_fixture fixture;
    std::string answer_body(200'000, 'a');
    scripted_endpoint endpoint([&](const std::string&) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer_body.size()) +
               "\r\n\r\n" + answer_body;
    });
    fixture.route_to(port_of(endpoint.port));
    asking_host host;
    const auto opened = host.connect(fixture.server.port());
    REQUIRE_FALSE(opened.failed);
    CHECK(opened.reply == protocol::relay_reply::connected);
    CHECK(host.connection->is_relayed());
    const auto [failed, body] = host.exchange(50'000);
    CHECK_FALSE(failed);
    CHECK(body == answer_body);
    CHECK(endpoint.requests == 1);
    CHECK(host.connection->status() == 200);
    host.close();
    CHECK(fixture.becomes_empty());
}

TEST_CASE("an answer that ends early ends early through a tunnel", "[transport][relay]") {
    relay_fixture fixture;
    scripted_endpoint endpoint([](const std::string&) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    });
    fixture.route_to(port_of(endpoint.port));
    asking_host host;
    REQUIRE_FALSE(host.connect(fixture.server.port()).failed);
    const auto [failed, body] = host.exchange(10);
    CHECK(body == "part");
    CHECK(transport::is_closed_by_peer(failed));
    CHECK(failed != asio::error::connection_reset);
}

TEST_CASE("a reset of the endpoint is a reset through a tunnel", "[transport][relay]") {
    relay_fixture fixture;
    asking_host host;
    REQUIRE_FALSE(host.connect(fixture.server.port()).failed);
    raw_socket reached;
    fixture.endpoint.accept(reached);
    std::thread endpoint([&] {
        reached.receive(1);
        reached.reset();
    });
    CHECK(host.exchange(10).first == asio::error::connection_reset);
    endpoint.join();
}

TEST_CASE("a request that is given up resets the endpoint's connection", "[transport][relay]") {
    relay_fixture fixture;
    asking_host host;
    REQUIRE_FALSE(host.connect(fixture.server.port()).failed);
    raw_socket reached;
    fixture.endpoint.accept(reached);
    const auto closed = run(host.threads, [&]() -> asio::awaitable<error_code> {
        transport::http_request request{boost::beast::http::verb::post, "/", 11};
        request.body().assign(std::size_t{64} * 1024 * 1024, 'x');
        request.prepare_payload();
        const auto failed = co_await host.connection->send(request, 300ms);
        host.connection->close();
        co_return failed;
    });
    CHECK(closed == asio::error::operation_aborted);
    reached.receive_all();
    CHECK(reached.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a refusal of a tunnel is reported with its reply", "[transport][relay]") {
    relay_fixture fixture;
    asking_host host;
    for (const auto& row : state::enum_table<protocol::relay_reply>::rows) {
        if (row.value == protocol::relay_reply::connected) {
            continue;
        }
        fixture.set_route(row.value);
        const auto refused = host.connect(fixture.server.port());
        CHECK(refused.failed);
        CHECK(refused.reply == row.value);
        CHECK_FALSE(host.connection->is_relayed());
    }
    const auto invalid = host.connect(fixture.server.port(), state::endpoint_id("i 1"));
    CHECK(invalid.failed == asio::error::invalid_argument);
    CHECK_FALSE(invalid.reply);
    std::uint16_t closed_port = 0;
    {
        const raw_listener ended;
        closed_port = ended.port();
    }
    const auto nobody = host.connect(closed_port);
    CHECK(nobody.failed == asio::error::connection_refused);
    CHECK_FALSE(nobody.reply);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a peer that does not reply as agreed opens no tunnel", "[transport][relay]") {
    asking_host host;
    raw_listener relay;
    const auto connect_to = [&](const std::string& reply, bool closes) {
        std::thread peer([&] {
            raw_socket accepted;
            relay.accept(accepted);
            accepted.receive(std::string("relay 1 i-1 5\n").size());
            accepted.send(reply);
            if (!closes) {
                accepted.receive_all();
            }
        });
        const auto result = host.connect(relay.port(), known_endpoint, 200ms);
        host.close();
        peer.join();
        return result;
    };
    for (const std::string reply : {"connected\nx", "connected\n\n", "conected\n", "\n"}) {
        INFO(reply);
        const auto result = connect_to(reply, false);
        CHECK(result.failed);
        CHECK_FALSE(result.reply);
    }
    CHECK(connect_to(std::string(1'000, 'x'), false).failed);
    CHECK(connect_to("connected", true).failed);
    CHECK(connect_to("", true).failed);
    CHECK(connect_to("connected", false).failed == asio::error::operation_aborted);
    CHECK(connect_to("", false).failed == asio::error::operation_aborted);
}

TEST_CASE("a reply in single bytes is read to its end and no further", "[transport][relay]") {
    asking_host host;
    raw_listener relay;
    std::thread peer([&] {
        raw_socket accepted;
        relay.accept(accepted);
        accepted.socket().set_option(asio::ip::tcp::no_delay(true));
        accepted.receive(std::string("relay 1 i-1 5\n").size());
        for (const char byte : std::string("connected\n")) {
            accepted.send(std::string(1, byte));
        }
        accepted.receive(1);
        accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        accepted.receive_all();
    });
    REQUIRE_FALSE(host.connect(relay.port()).failed);
    const auto [failed, body] = host.exchange(0);
    CHECK_FALSE(failed);
    CHECK(body == "ok");
    host.close();
    peer.join();
}

TEST_CASE("the pool keeps relayed connections apart from direct ones", "[transport][relay]") {
    relay_fixture fixture;
    persistent_endpoint endpoint([](const endpoint_request&) {
        return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    const auto port = port_of(endpoint.port);
    fixture.route_to(port);
    asking_host host;
    transport::endpoint_pool pool;
    auto& context = host.threads.context(0);
    const auto keep_one = [&](connection_path path) {
        if (path == connection_path::relayed) {
            REQUIRE_FALSE(host.connect(fixture.server.port()).failed);
        } else {
            REQUIRE_FALSE(host.connect_directly(port));
        }
        CHECK(host.connection->path() == path);
        REQUIRE_FALSE(host.exchange(1).first);
        REQUIRE(host.connection->reusable());
        pool.keep(context, "127.0.0.1", port, std::move(host.connection));
    };
    const auto take = [&](connection_path path) {
        host.connection = pool.take(context, "127.0.0.1", port, {.path = path});
        return host.connection != nullptr;
    };
    const auto other = [](connection_path path) {
        return path == connection_path::direct ? connection_path::relayed : connection_path::direct;
    };
    const auto path = GENERATE(connection_path::direct, connection_path::relayed);

    keep_one(path);
    CHECK_FALSE(take(other(path)));
    REQUIRE(take(path));
    CHECK(host.connection->path() == path);
    CHECK_FALSE(host.exchange(1).first);
    pool.keep(context, "127.0.0.1", port, std::move(host.connection));

    keep_one(other(path));
    constexpr state::milliseconds min_idle{60'000};
    const auto now = std::chrono::steady_clock::now();
    CHECK(pool.drop_idle(path, min_idle, now) == 0);
    CHECK(pool.drop_idle(path, min_idle, now + min_idle) == 1);
    CHECK(pool.drop_idle(path, state::milliseconds(0), now) == 0);
    CHECK_FALSE(take(path));
    CHECK(take(other(path)));
    host.close();
    CHECK(fixture.becomes_empty());
}
