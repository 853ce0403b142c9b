// Tests what the end of a stream's body means.
#include "savoryrelay/coordination/serving/stream_end.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::coordination;

TEST_CASE("a stream has ended with its body only if nothing contradicts the end") {
    // Guards against a stream that is ended as complete although its endpoint goes on.
    CHECK(judge_stream_end({}) == stream_end::complete);
    CHECK(judge_stream_end({.has_partial_event = true}) == stream_end::partial_event);
    CHECK(judge_stream_end({.has_bytes_after = true}) == stream_end::bytes_after_end);
    CHECK(judge_stream_end({.is_unconfirmed = true}) == stream_end::unconfirmed);
    CHECK(judge_stream_end({.has_partial_event = true, .has_bytes_after = true}) ==
          stream_end::partial_event);
}
