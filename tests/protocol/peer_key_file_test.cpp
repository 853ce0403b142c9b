// Tests the parsing of the peer key file.
#include "savoryrelay/protocol/peer/peer_key_file.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;

namespace {

state::attempt<protocol::peer_keys> read(const std::string& text) {
    return state::collect([&] { return protocol::read_peer_keys(text); });
}

} // namespace

// Guards against a rotation that signs with the wrong key, and against accepting a
// short secret or a damaged file.
TEST_CASE("a key file holds one or two keys", "[peer]") {
    const std::string one(32, 'a');
    const std::string two(32, 'b');
    const auto keys = read("1 " + one + "\n2 " + two + "\n");
    REQUIRE(keys);
    CHECK(keys.value().current.id == 1);
    CHECK(keys.value().current.secret == one);
    REQUIRE(keys.value().previous);
    CHECK(keys.value().previous->secret == two);
    CHECK_FALSE(read("7 " + one).value().previous);
    for (const auto& text : {std::string(), std::string("1 short"), one, "1 " + one + " rest",
                             "1 " + one + "\n1 " + two, "1 " + one + "\n\n",
                             "1 " + one + "\n2 " + two + "\n3 " + two}) {
        CAPTURE(text);
        const auto refused = read(text);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == state::failure_kind::invalid_settings);
    }
}
