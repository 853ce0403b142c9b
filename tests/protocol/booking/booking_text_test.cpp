// Tests the encoding of booking and lease rows.
#include "savoryrelay/protocol/booking/booking_text.h"
#include "savoryrelay/protocol/lease/lease_text.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;

namespace {

state::booking_row arbitrary_booking() {
    state::booking_row row;
    const auto& states = state::enum_table<state::booking_state>::rows;
    row.state = states[*rc::gen::inRange<std::size_t>(0, states.size())].value;
    row.id = {state::customer_id(*rc::gen::arbitrary<std::string>()),
              *rc::gen::arbitrary<std::string>()};
    row.deployment = state::deployment_id("orders");
    row.body_digest = std::string(64, 'a');
    row.owner = {state::member_id("m1"), *rc::gen::arbitrary<std::uint64_t>()};
    row.attempt = *rc::gen::arbitrary<std::uint32_t>();
    if (row.state == state::booking_state::ran) {
        row.answer = {201, "application/octet-stream", *rc::gen::arbitrary<std::string>()};
    }
    return row;
}

} // namespace

// Guards against a row that is not decoded as it was encoded, also when the answer is
// not UTF-8.
TEST_CASE("a booking row is decoded as it was encoded", "[booking]") {
    CHECK(rc::check("booking rows", [] {
        const auto row = arbitrary_booking();
        const auto text = protocol::encode_booking(row);
        const auto read = state::collect([&] { return protocol::decode_booking(text); });
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value() == row);
    }));
}

// Guards against accepting a truncated row.
TEST_CASE("a truncated booking row is refused as a booking and as a lease", "[booking][lease]") {
    CHECK(rc::check("truncated rows", [] {
        auto text = protocol::encode_booking(arbitrary_booking());
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        const auto booking = state::collect([&] { return protocol::decode_booking(text); });
        const auto lease = state::collect([&] { return protocol::decode_lease(text); });
        RC_ASSERT(!booking.has_value());
        RC_ASSERT(!lease.has_value());
        RC_ASSERT(booking.error().kind == state::failure_kind::message_damaged);
    }));
}

// Guards against a fencing number or flag that is lost in the encoding.
TEST_CASE("a lease row is decoded as it was encoded", "[lease]") {
    const state::lease_row row{state::member_id("m\"1"), ~std::uint64_t{0}, 7,
                               state::milliseconds(10'000), true};
    const auto read =
        state::collect([&] { return protocol::decode_lease(protocol::encode_lease(row)); });
    REQUIRE(read.has_value());
    CHECK(read.value() == row);
}

// Guards against two customers whose bookings share a row or a service key.
TEST_CASE("row keys and service keys are distinct per customer", "[booking]") {
    const state::booking_id first{state::customer_id("a/b"), "c"};
    const state::booking_id second{state::customer_id("a"), "b/c"};
    CHECK(state::row_key(first) != state::row_key(second));
    CHECK(state::service_key(first) != state::service_key(second));
    CHECK(state::row_key(first).starts_with(state::partition_prefix(state::partition_of(first))));
}
