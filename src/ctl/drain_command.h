// `savoryrelayctl drain` and `savoryrelayctl return`.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

exit_code run_drain(const std::vector<std::string>& arguments);
exit_code run_return(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
