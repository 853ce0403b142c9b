// Encoding of the messages between members by cereal.
#pragma once

#include "savoryrelay/protocol/peer/message_authentication.h"
#include "savoryrelay/state/member/member.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Largest frame of a state exchange. 4,096 members take up to 500 KB.
inline constexpr std::size_t max_state_frame_bytes = 4 * 1024 * 1024;
inline constexpr std::size_t max_document_bytes = 3 * 1024 * 1024;
inline constexpr std::size_t max_state_members = 4'096;

/// A request for the state of a peer. The reply repeats `nonce`, so that a
/// recorded reply is not accepted again.
struct state_request {
    state::member_id from;
    std::uint64_t nonce = 0;
};

struct state_reply {
    std::uint64_t nonce = 0;
    state::peer_state state;
};

/// A signed datagram of at most `state::max_datagram_bytes`. Fails with
/// `request_too_large` when a field or the whole exceeds its bound.
[[nodiscard]] state::result<std::string> encode_datagram(const state::peer_message& message,
                                                         const peer_keys& keys);

/// Verifies and decodes a datagram. Fails with `message_damaged` or
/// `message_unauthenticated`; nothing is allocated beyond the bounds.
[[nodiscard]] state::result<state::peer_message> decode_datagram(std::string_view frame,
                                                                 const peer_keys& keys);

[[nodiscard]] state::result<std::string> encode_state_request(const state_request& request,
                                                              const peer_keys& keys);
[[nodiscard]] state::result<state_request> decode_state_request(std::string_view frame,
                                                                const peer_keys& keys);
[[nodiscard]] state::result<std::string> encode_state_reply(const state_reply& reply,
                                                            const peer_keys& keys);
/// Fails with `message_unauthenticated` also when the nonce is another one.
[[nodiscard]] state::result<state_reply>
decode_state_reply(std::string_view frame, std::uint64_t nonce, const peer_keys& keys);

/// Decodes the body of a datagram without its signature, for the fuzz target.
[[nodiscard]] state::result<state::peer_message> decode_datagram_body(std::string_view body);

} // namespace savoryrelay::protocol
