// Decodes a plain service's report about a service key, which is the idempotency key that
// the service receives.
#pragma once

#include "savoryrelay/state/booking/booking_row.h"

#include <string>

namespace savoryrelay::protocol {

/// A service's report about one service key.
struct service_key_message {
    std::string state;            ///< "ran", "running", "absent" or "closed"
    state::booking_answer answer; ///< the first answer, when `state` is "ran"
};

/// Decodes `{"state", "status", "content_type", "body"}`. The last three are required only
/// when `state` is "ran". Fails with `message_damaged`.
[[nodiscard]] state::result<service_key_message>
decode_service_key_message(const std::string& text);

} // namespace savoryrelay::protocol
