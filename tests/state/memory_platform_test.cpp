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
