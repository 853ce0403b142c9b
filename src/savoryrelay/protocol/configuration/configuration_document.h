// The YAML form of the configuration document, with its checks.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"

#include <string>

namespace savoryrelay::protocol {

/// Reads a configuration document. `revision` is the revision it is stored
/// under. Fails with `invalid_configuration`, naming the field and the remedy,
/// also for references to unknown rows and for settings that cannot progress.
[[nodiscard]] state::result<state::configuration> read_configuration(const std::string& text,
                                                                     std::uint64_t revision);

} // namespace savoryrelay::protocol
