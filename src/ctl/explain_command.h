// `savoryrelayctl explain`: explains the outcome of one request from the log lines
// of the entry hosts.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Prints the log lines about a request and the cause of its outcome.
exit_code run_explain(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
