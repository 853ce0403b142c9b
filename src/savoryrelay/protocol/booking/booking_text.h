// Encodes and decodes the booking rows that are stored in the platform's table.
#pragma once

#include "savoryrelay/state/booking/booking_row.h"

#include <string>

namespace savoryrelay::protocol {

/// Encodes a row as a JSON object. The customer, the key, and the content type and body of
/// the answer are in hexadecimal, because they may contain bytes that are not UTF-8.
[[nodiscard]] std::string encode_booking(const state::booking_row& row);

/// Decodes a row. Fails with `message_damaged` and names the field.
[[nodiscard]] state::result<state::booking_row> decode_booking(const std::string& text);

/// Returns both functions as the hooks of the booking coordinator.
[[nodiscard]] state::booking_codec booking_text_codec();

} // namespace savoryrelay::protocol
