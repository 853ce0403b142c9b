// Encodes and decodes the lease rows that are stored in the platform's table.
#pragma once

#include "savoryrelay/state/lease/lease_row.h"

#include <string>

namespace savoryrelay::protocol {

/// Encodes a row as a JSON object. The duration is in milliseconds.
[[nodiscard]] std::string encode_lease(const state::lease_row& row);

/// Decodes a row. Fails with `message_damaged`.
[[nodiscard]] state::result<state::lease_row> decode_lease(const std::string& text);

/// Returns both functions as the hooks of the lease coordinator.
[[nodiscard]] state::lease_codec lease_text_codec();

} // namespace savoryrelay::protocol
