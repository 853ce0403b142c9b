// Encodes and decodes the digests that entry hosts exchange, and the tables that one
// entry host sends to another.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/table_mirror.h"

#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// The most entries that each list of a digest may have, so that the digest fits into a
/// datagram.
inline constexpr std::size_t max_digest_entries = 12;

/// Splits `digest` into digests whose lists have at most `max_digest_entries` entries.
[[nodiscard]] std::vector<state::peer_digest> split_digest(const state::peer_digest& digest);

/// Encodes a digest whose lists have at most `max_digest_entries` entries.
[[nodiscard]] std::string encode_digest(const state::peer_digest& digest);
/// Decodes a digest. Fails with `message_damaged` when `bytes` is malformed.
[[nodiscard]] state::result<state::peer_digest> decode_digest(std::string_view bytes);

/// Encodes the rows and the version of a table.
[[nodiscard]] std::string encode_table(const state::table_image& image);
/// Decodes a table. Fails with `message_damaged` when `bytes` is malformed.
[[nodiscard]] state::result<state::table_image> decode_table(std::string_view bytes);

} // namespace savoryrelay::protocol
