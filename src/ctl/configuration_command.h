// `savoryrelayctl configuration`: shows, submits or compares configurations.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Runs `configuration show`, `submit` or `diff`.
exit_code run_configuration(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
