// Tests that answers which break the grammar or the framing rules of HTTP/1.1 leave the result of
// a report, of an order and of a store request unknown.
#include "platform/runner_client.h"
#include "platform/store_client.h"
#include "support/malformed_answers.h"
#include "support/scripted_endpoint.h"

#include "savoryrelay/transport/process/io_threads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace savoryrelay;

namespace {

namespace asio = boost::asio;

constexpr state::milliseconds step_timeout{2'000};

// A peer that gives the same answer to each request, and clients of it.
struct malformed_peer {
    explicit malformed_peer(std::string bytes)
        : endpoint([bytes = std::move(bytes)](const std::string&) { return bytes; }) {
        runner.id = state::endpoint_id("r1");
        runner.address = "127.0.0.1";
        runner.port = port();
    }
    malformed_peer(const malformed_peer&) = delete;
    malformed_peer& operator=(const malformed_peer&) = delete;
    ~malformed_peer() { threads.stop(); }

    [[nodiscard]] std::uint16_t port() const {
        return static_cast<std::uint16_t>(std::stoi(endpoint.port));
    }

    template <typename Awaitable>
    auto run(Awaitable awaitable) {
        return asio::co_spawn(threads.context(0), std::move(awaitable), asio::use_future).get();
    }

    tests::scripted_endpoint endpoint;
    transport::io_threads threads{1};
    transport::endpoint_pool pool;
    state::runner_record runner;
    platform::store_client store{threads, {"127.0.0.1", port(), step_timeout, step_timeout}};
    int heads = 0; // heads of answers that the clients have passed on
};

constexpr const char* page = R"({"rows":[],"ver":7,"has_more":false})";

} // namespace

TEST_CASE("a report or an order with a malformed answer has no known result") {
    // Guards against an order that counts as done, and signals read from bytes that are no answer.
    for (const auto& answer : tests::malformed_answers("{}")) {
        CAPTURE(answer.bytes);
        malformed_peer peer(answer.bytes);
        const auto note_head = [&](const state::answer_head&) { ++peer.heads; };
        const auto report =
            peer.run(platform::fetch_report(peer.pool, peer.runner, step_timeout, note_head));
        REQUIRE_FALSE(report);
        CHECK(report.error().kind == state::failure_kind::endpoint_failed);

        state::runner_order order;
        order.runner = peer.runner.id;
        order.kind = state::runner_order_kind::leave;
        const auto ordered = peer.run(
            platform::send_order(peer.pool, peer.runner, order, step_timeout, nullptr, note_head));
        CHECK(ordered.result == state::runner_order_result::unknown);
        CHECK(ordered.detail.find(answer.defect) != std::string::npos);
        CHECK(peer.heads == 0);
    }
}

TEST_CASE("a store request with a malformed answer has no known result") {
    // Guards against a write that counts as done or as refused, and rows from another body.
    for (const auto& answer : tests::malformed_answers(page)) {
        CAPTURE(answer.bytes);
        malformed_peer peer(answer.bytes);
        const auto put = peer.run(peer.store.put_row("status", "a", "b"));
        REQUIRE_FALSE(put);
        CHECK(put.error().kind == state::failure_kind::store_result_unknown);

        const auto rows = peer.run(peer.store.read_table("servers"));
        REQUIRE_FALSE(rows);
        CHECK(rows.error().kind == state::failure_kind::store_unavailable);

        const auto hooks = peer.store.lease_hooks("status", "w1");
        state::table_transaction transaction;
        transaction.write_key = "k1";
        transaction.puts.push_back({"lease", "v"});
        const auto written = state::collect([&] { return hooks.transact(transaction); });
        REQUIRE_FALSE(written);
        CHECK(written.error().kind == state::failure_kind::store_result_unknown);
    }
}
