// Tests a server that shares an account of memory: bodies within the budget arrive whole,
// others are refused as not run, and bodies that are not needed are not collected.
#include "savoryrelay/transport/http/http_server.h"

#include "support/test_http_client.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace savoryrelay;
using namespace savoryrelay::tests;

namespace {

namespace asio = boost::asio;

constexpr std::size_t budget_bytes = 4 * 1024 * 1024;

/// A server that answers with the size of the body, and to "/none" by the head.
struct accounted_server {
    coordination::memory_account account{{budget_bytes, {}}};
    transport::io_threads threads{1};
    transport::http_server server{
        threads,
        "127.0.0.1",
        0,
        {.body_bytes = 16 * 1024 * 1024},
        [](transport::http_request request,
           transport::response_writer& writer) -> asio::awaitable<void> {
            const auto size = std::to_string(request.body().size());
            co_await writer.send(200, transport::content_type_field("text/plain"), size);
        },
        {&account, coordination::listener::callers,
         [](const transport::http_request& head,
            transport::response_writer& writer) -> asio::awaitable<bool> {
             if (head.target() != "/none") {
                 co_return false;
             }
             co_await writer.send(404, transport::content_type_field("text/plain"), "no route");
             co_return true;
         }}};
    std::string port = std::to_string(server.port());

    accounted_server() = default;
    accounted_server(const accounted_server&) = delete;
    accounted_server& operator=(const accounted_server&) = delete;
    ~accounted_server() {
        server.stop_accepting();
        threads.stop();
    }

    [[nodiscard]] test_answer post(const std::string& target, std::size_t size) const {
        return fetch(port, http::verb::post, target, std::string(size, 'x'));
    }
};

} // namespace

TEST_CASE("bodies of any size within the budget arrive whole") {
    const accounted_server fixture;
    for (const std::size_t size : {0U, 1U, 1'023U, 65'536U, 65'537U, 300'000U, 1'000'000U}) {
        const auto answer = fixture.post("/", size);
        CHECK(answer.status == 200);
        CHECK(answer.body == std::to_string(size));
    }
}

TEST_CASE("a body beyond the budget is refused as not run, with Retry-After") {
    const accounted_server fixture;
    const auto answer = fixture.post("/", 2 * budget_bytes);
    CHECK(answer.status == 503);
    CHECK(answer.outcome == "not-run");
    CHECK(answer.retry_after == "1");
    CHECK(fixture.post("/", 1'000).status == 200);
}

TEST_CASE("a large body that is not needed is answered by its head") {
    const accounted_server fixture;
    CHECK(fixture.post("/none", 2 * budget_bytes).status == 404);
    // A small one is collected and left to the handler.
    CHECK(fixture.post("/none", 1'000).status == 200);
}

TEST_CASE("a connection that has ended holds no memory") {
    accounted_server fixture;
    CHECK(fixture.post("/", 1'000'000).status == 200);
    fixture.server.stop_accepting();
    fixture.server.wait_until_idle();
    // A connection returns its memory with the rest of its state, shortly after it is closed.
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (fixture.account.held_bytes() > 0 && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(fixture.account.held_bytes() == 0);
    fixture.threads.stop();
}
