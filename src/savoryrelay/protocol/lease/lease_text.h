// Text form of a lease row in the platform's table.
#pragma once

#include "savoryrelay/state/lease/lease_row.h"

#include <string>

namespace savoryrelay::protocol {

/// A row as a JSON object; the duration is in milliseconds.
[[nodiscard]] std::string encode_lease(const state::lease_row& row);

/// Reads a row. Fails with `message_damaged`.
[[nodiscard]] state::result<state::lease_row> decode_lease(const std::string& text);

/// Both functions as the hooks that the coordinator takes.
[[nodiscard]] state::lease_codec lease_text_codec();

} // namespace savoryrelay::protocol
