// Encodes, signs, verifies and decodes the messages between members.
#pragma once

#include "savoryrelay/protocol/peer/message_authentication.h"
#include "savoryrelay/state/member/member.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Size limit of a state reply. 4,096 members take up to 500 KB of it.
inline constexpr std::size_t max_state_frame_bytes = 4 * 1024 * 1024;
inline constexpr std::size_t max_configuration_bytes = 3 * 1024 * 1024;
inline constexpr std::size_t max_state_members = 4'096;

/// A request for the state of a peer. The reply repeats `nonce`, so that a replayed old
/// reply is not accepted.
struct state_request {
    state::member_id from;
    std::uint64_t nonce = 0;
};

/// The answer to a `state_request`.
struct state_reply {
    std::uint64_t nonce = 0;
    state::peer_state state;
};

/// Returns a signed datagram of at most `state::max_datagram_bytes`. Fails with
/// `request_too_large` when a field or the datagram exceeds its size limit.
[[nodiscard]] state::result<std::string> encode_datagram(const state::peer_message& message,
                                                         const peer_keys& keys);

/// Verifies and decodes a datagram. Fails with `message_damaged` or
/// `message_unauthenticated`. Sizes in the datagram are checked before memory is allocated
/// for them.
[[nodiscard]] state::result<state::peer_message> decode_datagram(std::string_view frame,
                                                                 const peer_keys& keys);

[[nodiscard]] state::result<std::string> encode_state_request(const state_request& request,
                                                              const peer_keys& keys);
[[nodiscard]] state::result<state_request> decode_state_request(std::string_view frame,
                                                                const peer_keys& keys);
[[nodiscard]] state::result<std::string> encode_state_reply(const state_reply& reply,
                                                            const peer_keys& keys);
/// Verifies and decodes a state reply. Also fails with `message_unauthenticated` when the
/// nonce of the reply is not `nonce`.
[[nodiscard]] state::result<state_reply>
decode_state_reply(std::string_view frame, std::uint64_t nonce, const peer_keys& keys);

/// Decodes the body of a datagram, without the frame header, and verifies no signature.
/// Only the fuzz target and tests use it.
[[nodiscard]] state::result<state::peer_message> decode_datagram_body(std::string_view body);

} // namespace savoryrelay::protocol
