// Encoding of the digests between entry hosts, and of tables that one host
// hands to another.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/table_mirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// Entries of the lists of one digest that fit into a datagram.
inline constexpr std::size_t max_digest_entries = 12;

/// Splits the lists of `digest` over as many digests as needed.
[[nodiscard]] std::vector<state::peer_digest> split_digest(const state::peer_digest& digest);

/// Encodes a digest whose lists have at most `max_digest_entries` entries.
[[nodiscard]] std::string encode_digest(const state::peer_digest& digest);
/// Fails with `message_damaged`.
[[nodiscard]] state::result<state::peer_digest> decode_digest(std::string_view datagram);

[[nodiscard]] std::string encode_table(const state::table_image& image);
/// Fails with `message_damaged`.
[[nodiscard]] state::result<state::table_image> decode_table(std::string_view text);

} // namespace savoryrelay::protocol
