// `savoryrelayctl init`: the questionnaire.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Generates settings and configuration from answers.
exit_code run_init(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
