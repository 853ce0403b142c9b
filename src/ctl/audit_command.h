// `savoryrelayctl audit`: lists, shows, verifies or exports a record.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Runs `audit` on a folder of segment files or on an export file.
exit_code run_audit(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
