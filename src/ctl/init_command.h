// `savoryrelayctl init`: generates files from the answers to a questionnaire.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Generates the settings of each entry host and the configuration.
exit_code run_init(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
