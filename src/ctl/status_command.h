// `savoryrelayctl status`: the status of a daemon.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

exit_code run_status(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
