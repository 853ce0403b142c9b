// Text form of a booking row in the platform's table.
#pragma once

#include "savoryrelay/state/booking/booking_row.h"

#include <string>

namespace savoryrelay::protocol {

/// A row as a JSON object. Customer, key and answer are in hexadecimal, since
/// they may hold bytes that are not UTF-8.
[[nodiscard]] std::string encode_booking(const state::booking_row& row);

/// Reads a row. Fails with `message_damaged`, naming the field.
[[nodiscard]] state::result<state::booking_row> decode_booking(const std::string& text);

/// Both functions as the hooks that the coordinator takes.
[[nodiscard]] state::booking_codec booking_text_codec();

} // namespace savoryrelay::protocol
