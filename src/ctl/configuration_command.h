// `savoryrelayctl configuration`: show, submit and compare configurations.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

exit_code run_configuration(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
