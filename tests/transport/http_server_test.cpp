// Tests the HTTP server with handlers that fail and requests at its limits.
#include "savoryrelay/transport/http/http_server.h"

#include "support/test_http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

using namespace savoryrelay;
using namespace std::chrono_literals;
using namespace savoryrelay::tests;

namespace {

namespace asio = boost::asio;

/// Allows the process no further descriptor while it exists.
class descriptor_limit_at_use {
public:
    descriptor_limit_at_use() {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &m_before) == 0);
        const int next_free = ::dup(STDIN_FILENO);
        REQUIRE(next_free >= 0);
        ::close(next_free);
        rlimit lowered = m_before;
        lowered.rlim_cur = static_cast<rlim_t>(next_free);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~descriptor_limit_at_use() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
    descriptor_limit_at_use(const descriptor_limit_at_use&) = delete;
    descriptor_limit_at_use& operator=(const descriptor_limit_at_use&) = delete;

private:
    rlimit m_before{};
};

/// A server whose handler throws before the answer, within it or after it.
struct failing_server {
    transport::io_threads threads{1};
    transport::http_server server{
        threads,
        "127.0.0.1",
        0,
        {},
        [](transport::http_request request, transport::response_writer& writer) {
            return handle(std::move(request), writer);
        }};
    std::string port = std::to_string(server.port());

    failing_server() = default;
    failing_server(const failing_server&) = delete;
    failing_server& operator=(const failing_server&) = delete;
    ~failing_server() {
        server.stop_accepting();
        threads.stop();
    }

    static asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer) {
        const std::string target(request.target());
        bool is_gone = false;
        writer.on_caller_gone([&is_gone] { is_gone = true; });
        auto fields = transport::content_type_field("text/plain");
        if (target == "/throws") {
            throw std::bad_alloc();
        }
        if (target == "/throws_unknown") {
            throw 7; // NOLINT(hicpp-exception-baseclass)
        }
        if (target == "/streams") {
            co_await writer.start(200, std::move(fields));
            co_await writer.write("part");
            co_await writer.finish();
            co_return;
        }
        if (target == "/throws_in_stream") {
            co_await writer.start(200, std::move(fields));
            co_await writer.write("part");
            throw std::runtime_error("the handler failed");
        }
        co_await writer.send(200, std::move(fields), "whole");
        if (target == "/throws_after_answer") {
            throw std::runtime_error("the handler failed");
        }
        writer.on_caller_gone(nullptr);
    }

    /// Sends `bytes` and returns what the server sends until it closes the connection.
    [[nodiscard]] std::string exchange_raw(const std::string& bytes) const {
        using asio::ip::tcp;
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), server.port()));
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }

    [[nodiscard]] test_answer get(const std::string& target) const {
        return fetch(port, http::verb::get, target);
    }
};

} // namespace

TEST_CASE("a handler that throws before its answer ends its request alone, with 500") {
    failing_server fixture;
    for (const auto* target : {"/throws", "/throws_unknown"}) {
        const auto answer = fixture.get(target);
        CHECK(answer.status == 500);
        CHECK(answer.is_complete);
        CHECK(answer.body.find(R"("kind":"internal")") != std::string::npos);
        CHECK(answer.outcome == "unknown");
        CHECK(fixture.get("/").body == "whole");
    }
    fixture.server.stop_accepting();
    fixture.server.wait_until_idle();
    CHECK(fixture.server.open_requests() == 0);
}

TEST_CASE("a handler that throws within a stream leaves the answer incomplete") {
    failing_server fixture;
    const auto answer = fixture.get("/throws_in_stream");
    CHECK(answer.status == 200);
    CHECK(answer.body == "part");
    CHECK_FALSE(answer.is_complete);
    CHECK(fixture.get("/").body == "whole");
    fixture.server.stop_accepting();
    fixture.server.wait_until_idle();
    CHECK(fixture.server.open_requests() == 0);
}

TEST_CASE("a handler that throws after its answer ends its connection alone") {
    failing_server fixture;
    CHECK(fixture.get("/throws_after_answer").body == "whole");
    CHECK(fixture.get("/").body == "whole");
    fixture.server.stop_accepting();
    fixture.server.wait_until_idle();
    CHECK(fixture.server.open_requests() == 0);
}

TEST_CASE("a request with a trailer field above 64 KiB is refused and does not end the process") {
    const failing_server fixture;
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(100 * 1024, 'x');
    CHECK_THAT(fixture.exchange_raw(head + "0\r\nX-Long: " + filler + "\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 400"));
    CHECK_THAT(fixture.exchange_raw(head + "1;" + filler + "\r\nx\r\n0\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 400"));
    CHECK(fixture.get("/").body == "whole");
}

TEST_CASE("a header field above 64 KiB is refused whatever the configured limit is") {
    failing_server fixture;
    fixture.server.set_limits_hook([] {
        transport::http_limits limits;
        limits.header_bytes = 1024 * 1024;
        return limits;
    });
    const std::string filler(100 * 1024, 'x');
    CHECK_THAT(fixture.exchange_raw("GET / HTTP/1.1\r\nX-Long: " + filler + "\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 413"));
    CHECK(fixture.get("/").body == "whole");
}

TEST_CASE("a server without free descriptors does not spin and later accepts again") {
    failing_server fixture;
    asio::io_context context;
    asio::ip::tcp::socket caller(context, asio::ip::tcp::v4());
    {
        const descriptor_limit_at_use limit;
        caller.connect({asio::ip::make_address("127.0.0.1"), fixture.server.port()});
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        const auto processor_time = std::clock();
        std::this_thread::sleep_for(500ms);
        CHECK(std::clock() - processor_time < CLOCKS_PER_SEC / 10);
    }
    std::string answer;
    boost::system::error_code failed;
    asio::read_until(caller, asio::dynamic_buffer(answer), "whole", failed);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE("an answer to HEAD has no body, which would be taken for the next answer") {
    const failing_server fixture;
    const std::string next = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    for (const std::string target : {"/", "/streams"}) {
        INFO(target);
        const auto received =
            fixture.exchange_raw("HEAD " + target + " HTTP/1.1\r\nHost: a\r\n\r\n" + next);
        const auto end_of_head = received.find("\r\n\r\n");
        REQUIRE(end_of_head != std::string::npos);
        CHECK_THAT(received, Catch::StartsWith("HTTP/1.1 200"));
        CHECK_THAT(received.substr(end_of_head + 4), Catch::StartsWith("HTTP/1.1 200"));
        CHECK_THAT(received, Catch::EndsWith("whole"));
    }
}

TEST_CASE("a handler learns at once that the caller closed the connection before") {
    std::atomic<int> gone{0};
    std::atomic<int> present{0};
    transport::io_threads threads{1};
    transport::http_server server{
        threads,
        "127.0.0.1",
        0,
        {},
        [&](transport::http_request, transport::response_writer& writer) -> asio::awaitable<void> {
            ++(writer.is_caller_gone() ? gone : present);
            auto fields = transport::content_type_field("text/plain");
            co_await writer.send(200, std::move(fields), "ok");
        }};
    std::promise<void> blocked;
    std::promise<void> release;
    asio::post(threads.context(0), [&] {
        blocked.set_value();
        release.get_future().wait();
    });
    blocked.get_future().wait();
    asio::io_context context;
    for (const bool resets : {false, true}) {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), server.port()});
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
        socket.set_option(asio::socket_base::linger(resets, 0));
    }
    release.set_value();
    CHECK(fetch(std::to_string(server.port()), http::verb::get, "/").status == 200);
    server.stop_accepting();
    server.wait_until_idle();
    CHECK(gone <= 2);
    CHECK(gone >= 1); // a reset may discard the request
    CHECK(present == 1);
    threads.stop();
}
