// Tests the conditional transactions of the embedded platform.
#include "savoryrelay/state/platform/memory_platform.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::state;

namespace {

transaction_result transact(memory_platform& platform, const table_transaction& transaction) {
    const auto attempted = collect([&] { return platform.transact(transaction); });
    REQUIRE(attempted.has_value());
    return attempted.value();
}

} // namespace

// Guards against a second writer that overwrites the first.
TEST_CASE("a transaction whose check fails changes nothing", "[platform]") {
    memory_platform platform;
    const auto first = transact(platform, {"w1", {{"a", 0}}, {{"a", "1"}, {"b", "1"}}, {}});
    CHECK(first.committed);
    const auto second = transact(platform, {"w2", {{"a", 0}}, {{"a", "2"}, {"b", "2"}}, {}});
    CHECK_FALSE(second.committed);
    CHECK(second.conflicts == std::vector<std::string>{"a"});
    const auto row = collect([&] { return platform.read_row("b"); });
    CHECK(row.value().value == "1");
}

// Guards against a write that is applied twice when it is retried after a lost
// reply.
TEST_CASE("a repeated write key returns the first result", "[platform]") {
    memory_platform platform;
    const table_transaction write{"w1", {{"a", 0}}, {{"a", "1"}}, {}};
    const auto first = transact(platform, write);
    const auto again = transact(platform, write);
    CHECK(again.committed);
    CHECK(again.version == first.version);
    const auto stored = collect([&] { return platform.read_write_result("w1"); });
    REQUIRE(stored.value().has_value());
    CHECK(stored.value()->version == first.version);
}

// Guards against a restored table that keeps rows or results of later writes, or does not give
// their versions out again.
TEST_CASE("a restored table knows nothing of later writes", "[platform]") {
    memory_platform platform;
    transact(platform, {"w1", {}, {{"a", "1"}}, {}});
    const auto copy = platform.copy_table();
    const auto lost = transact(platform, {"w2", {}, {{"a", "2"}, {"b", "2"}}, {}});
    platform.restore_table(copy);

    CHECK(collect([&] { return platform.read_row("a"); }).value().value == "1");
    CHECK(collect([&] { return platform.read_row("b"); }).value().version == 0);
    CHECK_FALSE(collect([&] { return platform.read_write_result("w2"); }).value().has_value());
    CHECK(transact(platform, {"w3", {}, {{"b", "3"}}, {}}).version == lost.version);
}

// Guards against an answer that does not state the era of the store.
TEST_CASE("all answers about the table state its era", "[platform]") {
    memory_platform platform;
    const table_transaction write{"w1", {}, {{"a", "1"}}, {}};
    CHECK(transact(platform, write).era == 0);
    platform.restore_table(platform.copy_table());

    CHECK(transact(platform, write).era == 1);
    CHECK(transact(platform, {"w2", {{"a", 0}}, {{"a", "2"}}, {}}).era == 1);
    CHECK(collect([&] { return platform.read_write_result("w1"); }).value()->era == 1);
    CHECK(collect([&] { return platform.read_row("a"); }).value().era == 1);
    CHECK(collect([&] { return platform.read_row("absent"); }).value().era == 1);
    CHECK(collect([&] { return platform.scan_rows("a"); }).value().front().era == 1);
}
