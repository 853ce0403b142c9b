// Reads a program's settings file.
#pragma once

#include "savoryrelay/state/core/failure.h"

#include <fstream>
#include <sstream>
#include <string>

namespace savoryrelay::transport {

/// Returns the text of the file at `path`. Fails with `invalid_settings`.
[[nodiscard]] inline state::result<std::string> read_settings_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        return state::fail(state::failure_kind::invalid_settings,
                           "cannot read the file '" + path + "'");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace savoryrelay::transport
