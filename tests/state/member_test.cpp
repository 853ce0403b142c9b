// Tests of member states, the precedence of updates and announcements.
#include "savoryrelay/state/member/member.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::state;

// Guards against an older update that replaces a newer one, and against a state without a name.
TEST_CASE("the precedence of updates agrees with the transition table", "[member]") {
    for (const auto& from : enum_table<member_state>::rows) {
        CHECK(from_name<member_state>(from.name) == from.value);
        for (const auto& to : enum_table<member_state>::rows) {
            const member_update same{member_id("a"), {}, 3, to.value};
            const member_update higher{member_id("a"), {}, 4, to.value};
            const member_update lower{member_id("a"), {}, 2, to.value};
            CHECK(overrides(same, 3, from.value) == (to.value > from.value));
            CHECK(overrides(higher, 3, from.value));
            CHECK_FALSE(overrides(lower, 3, from.value));
            CHECK(is_allowed(from.value, to.value) == (from.value != to.value));
        }
    }
}

// Guards against a repeated announcement that cannot be told apart from the first one.
TEST_CASE("announcements are ordered by revision, then by attempt", "[member]") {
    CHECK(make_announcement(3, 1) > make_announcement(3, 0));
    CHECK(make_announcement(4, 0) > make_announcement(3, 70'000));
    CHECK(announced_revision(make_announcement(3, 70'000)) == 3);
}
