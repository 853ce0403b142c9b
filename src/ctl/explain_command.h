// `savoryrelayctl explain`: the way of one request, from the log lines of the
// entry hosts.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

exit_code run_explain(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
