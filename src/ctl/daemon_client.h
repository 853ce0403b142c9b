// Exchanges with a daemon's operators' interface.
#pragma once

#include "command.h"

#include <string>

namespace savoryrelay::ctl {

/// A request to the interface.
struct daemon_request {
    std::string method; ///< GET, PUT or POST
    std::string target; ///< path and query
    std::string operator_name;
    std::string body;
};

/// Sends `request` once to `daemon` ("ADDRESS:PORT") and returns the body of
/// the answer. Fails with the failure that the daemon answered, with
/// `endpoint_unreachable` when no byte left, and, for a request that may have
/// taken effect, with `store_result_unknown`.
[[nodiscard]] state::result<std::string> exchange_with_daemon(const std::string& daemon,
                                                              const daemon_request& request);

/// The exit code of a failure.
[[nodiscard]] exit_code exit_code_of(const state::failure& failure);

/// The name of the operator: `--operator`, or else the environment's USER.
[[nodiscard]] std::string operator_name_of(const argument_map& arguments);

} // namespace savoryrelay::ctl
