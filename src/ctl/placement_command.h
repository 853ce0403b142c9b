// `savoryrelayctl placement`: shows where an entry host would send a call now, and why.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Asks a running host where it would send a call, and prints the answer. Sends no call.
exit_code run_placement(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
