// Tests the fault-injecting platform that other tests use.
#include "support/fault_matrix.h"
#include "support/faulty_platform.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;

// Guards against a test platform that loses the write as well as its reply.
TEST_CASE("a transaction whose reply is lost has taken effect", "[support]") {
    tests::faulty_platform platform;
    platform.lose_next_replies = 1;
    const auto hooks = platform.hooks();
    const auto lost = state::collect([&] { return hooks.transact({"w1", {}, {{"a", "1"}}, {}}); });
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().kind == state::failure_kind::store_result_unknown);
    const auto stored = state::collect([&] { return hooks.read_write_result("w1"); });
    CHECK(stored.value().has_value());
}
