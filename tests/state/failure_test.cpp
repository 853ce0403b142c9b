// Tests the table of failure kinds, `collect` and the transitions of endpoints.
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

#include <catch2/catch.hpp>

#include <set>

using namespace savoryrelay::state;

// Guards against a kind that is missing from the table, is in the wrong row, or
// has the name of another kind.
TEST_CASE("each failure kind has its own row with a remedy", "[failure]") {
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(failure_kind::internal); ++i) {
        const auto& row = properties_of(static_cast<failure_kind>(i));
        CHECK(row.kind == static_cast<failure_kind>(i));
        CHECK(names.insert(row.name).second);
        CHECK_FALSE(row.remedy.empty());
        CHECK(row.http_status >= 400);
    }
}

// Guards against the loss of the typed failure when a result is passed to another
// thread.
TEST_CASE("collect keeps the failure of a result", "[failure]") {
    const auto attempted = collect([]() -> result<int> {
        return fail(failure_kind::not_found, "no row", execution_outcome::not_run);
    });
    REQUIRE_FALSE(attempted.has_value());
    CHECK(attempted.error().kind == failure_kind::not_found);
    CHECK(attempted.error().message() ==
          "not_found: no row; check the name against GET /v1/models or the configuration");

    const auto value = collect([]() -> result<int> { return 7; });
    REQUIRE(value.has_value());
    CHECK(value.value() == 7);
}

// Guards against an endpoint that becomes warm without a cold phase.
TEST_CASE("an endpoint becomes warm only after a cold phase", "[endpoint]") {
    using p = endpoint_phase;
    CHECK(is_allowed(p::down, p::cold));
    CHECK_FALSE(is_allowed(p::down, p::warm));
    CHECK_FALSE(is_allowed(p::leaving, p::warm));
    for (const auto& row : transition_table<p>::rows) {
        CHECK(row.from != row.to);
    }
}
