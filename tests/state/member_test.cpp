// States of members and the precedence of updates.
#include "savoryrelay/state/member/member.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::state;

// Guards against an update that reverts a newer one, or a state without a name.
TEST_CASE("the precedence of updates agrees with the table of transitions", "[member]") {
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

// Guards against a repeated announcement that looks like the first one.
TEST_CASE("announcements grow by revision and then by attempt", "[member]") {
    CHECK(make_announcement(3, 1) > make_announcement(3, 0));
    CHECK(make_announcement(4, 0) > make_announcement(3, 70'000));
    CHECK(announced_revision(make_announcement(3, 70'000)) == 3);
}
