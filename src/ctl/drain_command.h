// `savoryrelayctl drain` and `savoryrelayctl return`: change which endpoints and
// availability zones are in service.
#pragma once

#include "command.h"

namespace savoryrelay::ctl {

/// Takes an endpoint or an availability zone out of service.
exit_code run_drain(const std::vector<std::string>& arguments);
/// Brings an endpoint or an availability zone back into service.
exit_code run_return(const std::vector<std::string>& arguments);

} // namespace savoryrelay::ctl
