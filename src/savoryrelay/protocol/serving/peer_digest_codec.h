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

/// The most loads, notices of each kind and entries of each other list that a digest may have, so
/// that it fits into a datagram. Notices travel in digests of their own, and rates of calls apart
/// from the others.
inline constexpr std::size_t max_digest_loads = 24;
inline constexpr std::size_t max_digest_notices = 40;
inline constexpr std::size_t max_digest_leaving = 8;
inline constexpr std::size_t max_digest_call_rates = 8;
inline constexpr std::size_t max_digest_entries = 12;

/// Splits `digest` into digests whose lists keep these limits.
[[nodiscard]] std::vector<state::peer_digest> split_digest(const state::peer_digest& digest);

/// Encodes a digest whose lists keep these limits. Fails with `request_too_large` when a
/// list or a text exceeds its limit, or the digest `state::max_datagram_bytes`.
[[nodiscard]] state::result<std::string> encode_digest(const state::peer_digest& digest);
/// Decodes a digest. Fails with `message_damaged` when `bytes` is malformed.
[[nodiscard]] state::result<state::peer_digest> decode_digest(std::string_view bytes);

/// Encodes the row of a host in the table of hosts.
[[nodiscard]] std::string encode_host_row(const state::host_entry& host);
/// Decodes the row of the host `name`. Fails with `message_damaged` when `text` is
/// malformed.
[[nodiscard]] state::result<state::host_entry> decode_host_row(const std::string& name,
                                                               const std::string& text);

/// Encodes the rows and the versions of a table or of its changes.
[[nodiscard]] std::string encode_table(const state::table_image& image);
/// Decodes a table. Fails with `message_damaged` when `bytes` is malformed.
[[nodiscard]] state::result<state::table_image> decode_table(std::string_view bytes);

} // namespace savoryrelay::protocol
