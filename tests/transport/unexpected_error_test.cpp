// Tests that an unexpected error ends the task in which it occurs, and nothing else.
#include "savoryrelay/transport/datagram/datagram_endpoint.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/process/worker_thread.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <stdexcept>
#include <string>

using namespace savoryrelay;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto time_limit = 10s;

[[noreturn]] void fail() {
    throw std::runtime_error("unexpected");
}

} // namespace

TEST_CASE("a handler that throws does not end its thread or the process", "[transport][error]") {
    transport::io_threads threads{1};
    std::promise<void> next_ran;
    asio::post(threads.context(0), [] { fail(); });
    asio::post(threads.context(0), [&] { next_ran.set_value(); });
    CHECK(next_ran.get_future().wait_for(time_limit) == std::future_status::ready);
    threads.stop();
}

TEST_CASE("a task that throws does not end the worker or the process", "[transport][error]") {
    transport::worker_thread worker;
    std::promise<void> repeated;
    int runs = 0;
    worker.post([] { fail(); });
    worker.repeat(1ms, [&] {
        if (++runs == 1) {
            fail();
        }
        if (runs == 2) {
            repeated.set_value();
        }
    });
    CHECK(repeated.get_future().wait_for(time_limit) == std::future_status::ready);
    worker.stop();
}

TEST_CASE("a datagram whose handling throws does not end the process", "[transport][error]") {
    const state::member_address receiver{"127.0.0.1", 39'421};
    std::promise<void> received;
    transport::datagram_endpoint endpoint(receiver, {[&](std::string_view datagram) {
                                              if (datagram == "bad") {
                                                  fail();
                                              }
                                              received.set_value();
                                          }});
    CHECK(endpoint.send(receiver, "bad"));
    CHECK(endpoint.send(receiver, "good"));
    CHECK(received.get_future().wait_for(time_limit) == std::future_status::ready);
}

TEST_CASE("a control loop that throws runs again", "[transport][error]") {
    transport::io_threads threads{1};
    std::promise<void> ran_again;
    int runs = 0;
    transport::start_control_loop(threads.context(0), "test", [&]() -> asio::awaitable<void> {
        if (++runs < 3) {
            fail();
        }
        ran_again.set_value();
        co_return;
    });
    CHECK(ran_again.get_future().wait_for(time_limit) == std::future_status::ready);
    threads.stop();
    CHECK(runs == 3);
}
