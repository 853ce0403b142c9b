// Signs and verifies the frames that members exchange, with HMAC-SHA-256 and a
// shared key. Each frame states the identifier of its key.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// The kind of message in a frame. The signature covers it, so that a frame of one kind
/// is not accepted as another.
enum class frame_kind : std::uint8_t { datagram, state_request, state_reply };

/// A key that all members share.
struct peer_key {
    std::uint32_t id = 0;
    std::string secret; ///< at least `min_peer_secret_bytes`
};

inline constexpr std::size_t min_peer_secret_bytes = 32;

/// The keys of a member. It signs with `current` and accepts both. During a rotation
/// each member first gets the new key as `previous`, and then the new key as `current`
/// with the old one as `previous`.
struct peer_keys {
    peer_key current;
    std::optional<peer_key> previous;
};

/// Size of the frame header: kind, key identifier and HMAC.
inline constexpr std::size_t frame_header_bytes = 1 + 4 + 32;

/// Fails with `invalid_settings` when a secret is too short or when both keys have the
/// same identifier.
[[nodiscard]] state::result<void> check_keys(const peer_keys& keys);

/// Returns a frame that contains `body` and is signed with the current key.
[[nodiscard]] std::string sign_frame(frame_kind kind, std::string_view body, const peer_keys& keys);

/// Verifies the signature and returns the body as a view into `frame`. Fails with
/// `message_damaged` when the frame is too short, and with `message_unauthenticated` when
/// its kind, key or signature is wrong.
[[nodiscard]] state::result<std::string_view> verify_frame(frame_kind kind, std::string_view frame,
                                                           const peer_keys& keys);

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::frame_kind> {
    using k = savoryrelay::protocol::frame_kind;
    static constexpr std::array rows{
        enum_name<k>{k::datagram, "datagram"},
        enum_name<k>{k::state_request, "state_request"},
        enum_name<k>{k::state_reply, "state_reply"},
    };
};
