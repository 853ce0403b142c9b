// `savoryrelayctl status`: shows the status of a daemon.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Prints the members, endpoints and open requests that a daemon reports.
exit_code run_status(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
