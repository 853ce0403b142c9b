// Reading of the configuration document from YAML.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"

#include <string>

namespace savoryrelay::protocol {

/// Reads and checks a configuration document, which is stored under `revision`. Fails
/// with `invalid_configuration` for an invalid field, a reference to an unknown row, or
/// settings with which a roll-out could never progress. The message names the field or
/// the row.
[[nodiscard]] state::result<state::configuration> read_configuration(const std::string& text,
                                                                     std::uint64_t revision);

} // namespace savoryrelay::protocol
