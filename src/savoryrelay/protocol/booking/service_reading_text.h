// What a plain service answers when it is asked for a booking by its key.
#pragma once

#include "savoryrelay/state/booking/booking_row.h"

#include <string>

namespace savoryrelay::protocol {

/// A service's description of one key.
struct service_reading_message {
    std::string state;            ///< "ran", "running", "absent" or "closed"
    state::booking_answer answer; ///< the first answer, when `state` is "ran"
};

/// Reads `{"state", "status", "content_type", "body"}`; the last three are
/// required for "ran" only. Fails with `message_damaged`.
[[nodiscard]] state::result<service_reading_message> read_service_reading(const std::string& text);

} // namespace savoryrelay::protocol
