// Tests the encoding and authentication of the messages between members.
#include "savoryrelay/protocol/peer/peer_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using protocol::frame_kind;
using state::failure_kind;

namespace {

protocol::peer_keys keys_of(std::uint32_t id) {
    return {{id, std::string(32, static_cast<char>('a' + id))}, std::nullopt};
}

state::peer_message largest_message() {
    state::peer_message message;
    message.kind = state::peer_message_kind::ack;
    message.from = state::member_id(std::string(state::max_member_id_bytes, 'f'));
    message.target = state::member_id(std::string(state::max_member_id_bytes, 't'));
    message.revisions = {1, 2, 3};
    message.evidence.assign(state::max_evidence, {7, state::max_evidence_age_ms - 1});
    const state::member_update update{
        state::member_id("host-1"), {"127.0.0.1", 7000}, 9, state::member_state::suspect};
    for (std::size_t bytes = encoded_bytes(update); bytes <= state::max_update_bytes;
         bytes += encoded_bytes(update)) {
        message.members.push_back(update);
    }
    return message;
}

failure_kind decode_failure(const std::string& frame, const protocol::peer_keys& keys) {
    const auto decoded = state::collect([&] { return protocol::decode_datagram(frame, keys); });
    return decoded ? failure_kind::internal : decoded.error().kind;
}

} // namespace

// Guards against a field that is lost in the encoding, and against a message whose
// fields respect their limits while the whole exceeds the size of a datagram.
TEST_CASE("the largest message fits into a datagram and is decoded unchanged", "[peer]") {
    const auto message = largest_message();
    const auto frame =
        state::collect([&] { return protocol::encode_datagram(message, keys_of(1)); });
    REQUIRE(frame);
    CHECK(frame.value().size() <= state::max_datagram_bytes);
    const auto decoded =
        state::collect([&] { return protocol::decode_datagram(frame.value(), keys_of(1)); });
    REQUIRE(decoded);
    CHECK(decoded.value().kind == message.kind);
    CHECK(decoded.value().from == message.from);
    CHECK(decoded.value().target == message.target);
    CHECK(decoded.value().revisions.announced == 3);
    REQUIRE(decoded.value().evidence.size() == message.evidence.size());
    CHECK(decoded.value().evidence[0].age_ms >= message.evidence[0].age_ms);
    REQUIRE(decoded.value().members.size() == message.members.size());
    CHECK(decoded.value().members[0].address == message.members[0].address);
    CHECK(decoded.value().members[0].state == message.members[0].state);
}

// Guards against a member that drops its peers' messages during a key rotation.
TEST_CASE("each step of a key rotation accepts the peers' messages", "[peer]") {
    auto old_only = keys_of(1);
    auto old_first = keys_of(1);
    old_first.previous = keys_of(2).current;
    auto new_first = keys_of(2);
    new_first.previous = keys_of(1).current;
    const auto accepts = [](const auto& sender, const auto& receiver) {
        const auto frame = protocol::sign_frame(frame_kind::datagram, "x", sender);
        return state::collect([&]() -> state::result<bool> {
                   BOOST_LEAF_CHECK(protocol::verify_frame(frame_kind::datagram, frame, receiver));
                   return true;
               })
            .has_value();
    };
    CHECK(accepts(old_only, old_first));
    CHECK(accepts(old_first, old_only));
    CHECK(accepts(old_first, new_first));
    CHECK(accepts(new_first, old_first));
    CHECK(accepts(new_first, keys_of(2)));
    CHECK_FALSE(accepts(new_first, old_only));
    CHECK(state::collect([&] { return protocol::check_keys(new_first); }).has_value());
    CHECK_FALSE(state::collect([&] {
                    return protocol::check_keys({{1, "short"}, std::nullopt});
                }).has_value());
}

// Guards against decoding a frame in which a bit was changed.
TEST_CASE("a changed frame is refused before it is decoded", "[peer]") {
    const auto frame = state::collect([] {
                           return protocol::encode_datagram(largest_message(), keys_of(1));
                       }).value();
    for (std::size_t i = 0; i < frame.size(); ++i) {
        auto changed = frame;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        REQUIRE(decode_failure(changed, keys_of(1)) == failure_kind::message_unauthenticated);
    }
    CHECK(decode_failure(frame, keys_of(2)) == failure_kind::message_unauthenticated);
    CHECK(decode_failure("short", keys_of(1)) == failure_kind::message_damaged);
    const auto request =
        state::collect([] {
            return protocol::encode_state_request({state::member_id("a"), 1}, keys_of(1));
        }).value();
    CHECK(decode_failure(request, keys_of(1)) == failure_kind::message_unauthenticated);
}

// Guards against allocating memory for a size in the body before the size is checked,
// and against a crash on a damaged body that was signed with a valid key.
TEST_CASE("a damaged body is refused or decoded within the size limits", "[peer]") {
    CHECK(rc::check("changed and truncated bodies", [] {
        const auto frame = state::collect([] {
                               return protocol::encode_datagram(largest_message(), keys_of(1));
                           }).value();
        auto body = frame.substr(protocol::frame_header_bytes);
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        body[position] = *rc::gen::arbitrary<char>();
        const auto size = *rc::gen::inRange<std::size_t>(0, body.size() + 1);
        const auto changed = state::collect(
            [&] { return protocol::decode_datagram_body(std::string_view(body).substr(0, size)); });
        if (changed) {
            RC_ASSERT(size == body.size());
            RC_ASSERT(changed.value().evidence.size() <= state::max_evidence);
        } else {
            RC_ASSERT(changed.error().kind == failure_kind::message_damaged);
        }
    }));
}

// Guards against accepting a replayed state reply for a later request, and against
// fields beyond their size limits.
TEST_CASE("a state reply is accepted only for its own request", "[peer]") {
    protocol::state_reply reply{5, {largest_message().members, {4, 4, 0}, "document"}};
    const auto frame =
        state::collect([&] { return protocol::encode_state_reply(reply, keys_of(1)); }).value();
    const auto decode = [&](std::uint64_t nonce) {
        return state::collect(
            [&] { return protocol::decode_state_reply(frame, nonce, keys_of(1)); });
    };
    REQUIRE(decode(5));
    CHECK(decode(5).value().state.configuration == "document");
    CHECK(decode(5).value().state.members.size() == reply.state.members.size());
    CHECK_FALSE(decode(6));
    reply.state.configuration.assign(protocol::max_configuration_bytes + 1, 'x');
    CHECK_FALSE(state::collect([&] { return protocol::encode_state_reply(reply, keys_of(1)); }));
}
