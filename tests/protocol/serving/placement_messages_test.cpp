// Tests the question where a call would go (round trip, damage).
#include "savoryrelay/protocol/placement/placement_messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace savoryrelay;
using namespace savoryrelay::protocol;

namespace {

std::optional<state::serving_call> decode(std::string_view target) {
    const auto call = state::collect([&] { return decode_placement_query(target); });
    return call ? std::optional(call.value()) : std::nullopt;
}

} // namespace

TEST_CASE("the question where a call would go is decoded as it was encoded") {
    rc::prop("any texts", [](const std::string& path, const std::string& key) {
        state::serving_call call;
        call.host = "a.example";
        call.path = "/" + path;
        call.key = key;
        call.model = "gold & silver";
        call.prompt_tokens = 1'460;
        call.expected_answer_tokens = 80;
        call.deadline = state::milliseconds(5'000);
        const auto read = decode(encode_placement_query(call));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->host == call.host);
        RC_ASSERT(read->path == call.path);
        RC_ASSERT(read->key == call.key);
        RC_ASSERT(read->model == call.model);
        RC_ASSERT(read->prompt_tokens == call.prompt_tokens);
        RC_ASSERT(read->max_answer_tokens == 0);
        RC_ASSERT(read->expected_answer_tokens == call.expected_answer_tokens);
        RC_ASSERT(read->deadline == call.deadline);
    });
}

TEST_CASE("a damaged question where a call would go is refused") {
    CHECK(decode("/placement?host=a&path=/b"));
    for (const auto* target :
         {"/placement", "/placement?host=a", "/placement?host=a&path=/b&host=c",
          "/placement?host=a&path=/b&prompt_tokens=-1",
          "/placement?host=a&path=/b&prompt_tokens=nan",
          "/placement?host=a&path=/b&deadline_ms=1e30", "/placement?host=a&path=/b&other=1",
          "/placement?host=%zz&path=/b", "no target"}) {
        CAPTURE(target);
        CHECK_FALSE(decode(target));
    }
}
