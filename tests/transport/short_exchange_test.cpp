// Tests that an exchange asks for permission before it sends its request, and that it ends.
#include "savoryrelay/transport/http/short_exchange.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay;
using namespace std::chrono_literals;

namespace asio = boost::asio;
using asio::ip::tcp;

TEST_CASE("a request whose permission ended while its connection was opened is not sent") {
    constexpr state::milliseconds step_timeout{500};
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    transport::endpoint_pool pool;
    transport::io_threads threads{1};
    int questions = 0;
    const transport::exchange_target target{"127.0.0.1", acceptor.local_endpoint().port(),
                                            step_timeout, step_timeout, [&] {
                                                ++questions;
                                                return false;
                                            }};
    const transport::http_request request{boost::beast::http::verb::post, "/order", 11};
    const auto answer =
        asio::co_spawn(threads.context(0), transport::run_exchange(pool, target, request),
                       asio::use_future)
            .get();
    CHECK(questions == 1);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == state::failure_kind::endpoint_unreachable);

    // The connection was opened and closed without a byte.
    auto socket = acceptor.accept();
    std::string received(1, '\0');
    boost::system::error_code ended;
    CHECK(asio::read(socket, asio::buffer(received), ended) == 0);
    CHECK(ended == asio::error::eof);
}

TEST_CASE("an exchange with a peer that sends a byte now and then ends") {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread peer([&] {
        auto socket = acceptor.accept();
        boost::system::error_code ended;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ended);
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), ended);
        const auto limit = std::chrono::steady_clock::now() + 4s;
        while (!ended && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(50ms);
            asio::write(socket, asio::buffer(std::string("x")), ended);
        }
    });
    transport::endpoint_pool pool;
    transport::io_threads threads{1};
    transport::exchange_target target{"127.0.0.1", acceptor.local_endpoint().port()};
    target.whole_answer_timeout = 500ms;
    const transport::http_request request{boost::beast::http::verb::get, "/report", 11};
    const auto started = std::chrono::steady_clock::now();
    const auto answer =
        asio::co_spawn(threads.context(0), transport::run_exchange(pool, target, request),
                       asio::use_future)
            .get();
    CHECK(std::chrono::steady_clock::now() - started < 2s);
    CHECK_FALSE(answer);
    peer.join();
}

TEST_CASE("the head of an answer that is cut later is reported") {
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread peer([&] {
        auto socket = acceptor.accept();
        boost::system::error_code ended;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ended);
        const std::string answer = "HTTP/1.1 503 Busy\r\nContent-Length: 9\r\nSaid: 1\r\n\r\npart";
        asio::write(socket, asio::buffer(answer), ended);
    });
    transport::endpoint_pool pool;
    transport::io_threads threads{1};
    transport::exchange_target target{"127.0.0.1", acceptor.local_endpoint().port()};
    std::vector<unsigned> statuses;
    transport::http_fields reported;
    target.on_head = [&](unsigned status, const transport::http_fields& fields) {
        statuses.push_back(status);
        reported = fields;
    };
    const transport::http_request request{boost::beast::http::verb::get, "/report", 11};
    const auto answer =
        asio::co_spawn(threads.context(0), transport::run_exchange(pool, target, request),
                       asio::use_future)
            .get();
    peer.join();
    CHECK_FALSE(answer);
    CHECK(statuses == std::vector<unsigned>{503});
    REQUIRE(reported.size() == 2);
    CHECK(reported.back().name == "Said");
}
