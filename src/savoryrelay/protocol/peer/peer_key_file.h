// Parses the file that holds the keys shared by all members.
#pragma once

#include "savoryrelay/protocol/peer/message_authentication.h"

#include <string>

namespace savoryrelay::protocol {

/// Parses the text of a key file. Each of its one or two lines holds a key: a numeric
/// identifier and a secret without whitespace. The first key signs frames; frames signed with
/// the second key are accepted too. Fails with `invalid_settings`.
[[nodiscard]] state::result<peer_keys> read_peer_keys(const std::string& text);

} // namespace savoryrelay::protocol
