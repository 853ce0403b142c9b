// Tests that requests on connections that the server is about to close as idle are answered.
#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace savoryrelay;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A caller with one connection that it keeps.
class caller {
public:
    explicit caller(std::uint16_t port) : m_socket(m_context) {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }
    void send() {
        http::request<http::string_body> request{http::verb::get, "/", 11};
        request.set(http::field::host, "h");
        http::write(m_socket, request);
    }
    void send_text(const std::string& text) { asio::write(m_socket, asio::buffer(text)); }
    /// Returns the status of the next answer, or 0 if the connection ends first.
    unsigned receive() {
        http::response<http::string_body> response;
        boost::system::error_code failed;
        http::read(m_socket, m_buffer, response, failed);
        return failed ? 0 : response.result_int();
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

// A server with one thread, whose idle limit can be changed. A call of `block` keeps the
// thread busy until `unblock`.
struct idle_fixture {
    std::atomic<int> idle_timeout_ms{10'000};
    transport::io_threads threads{1};
    transport::http_server server{
        threads,
        "127.0.0.1",
        0,
        {},
        [](transport::http_request, transport::response_writer& writer) -> asio::awaitable<void> {
            auto fields = transport::content_type_field("text/plain");
            co_await writer.send(200, std::move(fields), "ok");
        }};
    std::promise<void> release;

    idle_fixture() {
        server.set_limits_hook([this] {
            transport::http_limits limits;
            limits.idle_timeout = state::milliseconds(idle_timeout_ms.load());
            return limits;
        });
    }
    idle_fixture(const idle_fixture&) = delete;
    idle_fixture& operator=(const idle_fixture&) = delete;
    ~idle_fixture() {
        server.stop_accepting();
        threads.stop();
    }
    void block() {
        std::promise<void> blocked;
        asio::post(threads.context(0), [this, &blocked] {
            blocked.set_value();
            release.get_future().wait();
        });
        blocked.get_future().wait();
    }
    void unblock() { release.set_value(); }
};

} // namespace

TEST_CASE("an idle connection keeps to an idle limit that was raised while it waits",
          "[transport][idle]") {
    idle_fixture fixture;
    fixture.idle_timeout_ms = 300;
    caller kept(fixture.server.port());
    kept.send();
    REQUIRE(kept.receive() == 200);
    fixture.idle_timeout_ms = 10'000;
    std::this_thread::sleep_for(700ms);
    kept.send();
    CHECK(kept.receive() == 200);
}

TEST_CASE("an idle connection ends at its limit", "[transport][idle]") {
    idle_fixture fixture;
    fixture.idle_timeout_ms = 200;
    caller kept(fixture.server.port());
    kept.send();
    REQUIRE(kept.receive() == 200);
    const auto idle_since = std::chrono::steady_clock::now();
    CHECK(kept.receive() == 0);
    CHECK(std::chrono::steady_clock::now() - idle_since < 3s);
}

TEST_CASE("a stop closes an idle connection at once", "[transport][idle]") {
    idle_fixture fixture;
    caller kept(fixture.server.port());
    kept.send();
    REQUIRE(kept.receive() == 200);
    fixture.server.stop_accepting();
    auto status = std::async(std::launch::async, [&] { return kept.receive(); });
    CHECK(status.wait_for(3s) == std::future_status::ready);
    CHECK(fixture.server.open_requests() == 0);
    CHECK(status.get() == 0);
}

TEST_CASE("a request that arrives while the server stops is answered", "[transport][idle]") {
    idle_fixture fixture;
    caller kept(fixture.server.port());
    kept.send();
    REQUIRE(kept.receive() == 200);

    // The request has arrived when the idle connections are closed.
    fixture.block();
    kept.send();
    std::this_thread::sleep_for(50ms);
    fixture.server.stop_accepting();
    fixture.unblock();
    CHECK(kept.receive() == 200);
}

TEST_CASE("a stop waits for a request that has begun to arrive", "[transport][idle]") {
    idle_fixture fixture;
    caller kept(fixture.server.port());
    kept.send();
    REQUIRE(kept.receive() == 200);
    kept.send_text("GET / HTTP/1.1\r\nHost: h\r\n");
    while (fixture.server.open_requests() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    fixture.server.stop_accepting();
    auto stopped = std::async(std::launch::async, [&] { fixture.server.wait_until_idle(); });
    CHECK(stopped.wait_for(100ms) == std::future_status::timeout);
    kept.send_text("\r\n");
    CHECK(kept.receive() == 200);
    stopped.get();
}

TEST_CASE("a request behind another one is answered at a stop if no close was announced",
          "[transport][idle]") {
    transport::io_threads threads{1};
    std::promise<void> begun;
    int calls = 0; // used on the server's thread only
    transport::http_server server(
        threads, "127.0.0.1", 0, {},
        [&](transport::http_request, transport::response_writer& writer) -> asio::awaitable<void> {
            if (++calls == 1) {
                begun.set_value();
                co_await transport::pause_for(300ms);
            }
            co_await writer.send(200, transport::content_type_field("text/plain"), "ok");
        });
    caller kept(server.port());
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    kept.send_text(request + request);
    begun.get_future().wait();
    server.stop_accepting();
    CHECK(kept.receive() == 200);
    CHECK(kept.receive() == 200);
    CHECK(kept.receive() == 0);
    server.wait_until_idle();
    threads.stop();
}

TEST_CASE("a request on a connection that was just accepted is answered at a stop",
          "[transport][idle]") {
    transport::io_threads threads{2};
    transport::http_server server(
        threads, "127.0.0.1", 0, {},
        [](transport::http_request, transport::response_writer& writer) -> asio::awaitable<void> {
            co_await writer.send(200, transport::content_type_field("text/plain"), "ok");
        });
    const caller first(server.port()); // runs on the first thread
    std::promise<void> release;
    std::promise<void> blocked;
    asio::post(threads.context(1), [&] {
        blocked.set_value();
        release.get_future().wait();
    });
    blocked.get_future().wait();
    caller second(server.port());
    second.send();
    std::this_thread::sleep_for(100ms); // until the first thread has accepted it
    server.stop_accepting();
    release.set_value();
    CHECK(second.receive() == 200);
    server.wait_until_idle();
    threads.stop();
}

TEST_CASE("a connection whose answer was cut carries no further answer", "[transport][idle]") {
    transport::io_threads threads{1};
    constexpr std::size_t body_bytes = 16 * 1024 * 1024; // more than the sockets buffer
    std::atomic<int> calls{0};
    transport::http_limits limits;
    limits.write_timeout = 200ms;
    transport::http_server server(
        threads, "127.0.0.1", 0, limits,
        [&](transport::http_request, transport::response_writer& writer) -> asio::awaitable<void> {
            const std::string body(++calls == 1 ? body_bytes : 1, 'x');
            co_await writer.send(200, transport::content_type_field("text/plain"), body);
        });
    {
        caller slow(server.port());
        slow.send();
        std::this_thread::sleep_for(600ms);
        slow.send();
        std::this_thread::sleep_for(200ms);
        CHECK(slow.receive() == 0);
        CHECK(calls == 1);
    }
    server.stop_accepting();
    threads.stop();
}
