// The file of the keys that members share.
#pragma once

#include "savoryrelay/protocol/peer/message_authentication.h"

#include <string>

namespace savoryrelay::protocol {

/// Reads the text of a key file: one key a line, an identifier (a number) and a
/// secret without blanks. The first key signs; a second one is accepted too.
/// Fails with `invalid_settings`.
[[nodiscard]] state::result<peer_keys> read_peer_keys(const std::string& text);

} // namespace savoryrelay::protocol
