// `savoryrelayctl audit`: listing, showing, verifying and exporting a record.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Works on a folder of segment files or an export file.
exit_code run_audit(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
