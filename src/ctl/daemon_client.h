// Client for the operator interface of a daemon.
#pragma once

#include "command.h"

#include <string>

namespace savoryrelay::ctl {

/// A request to the operator interface.
struct daemon_request {
    std::string method; ///< GET, PUT or POST
    std::string target; ///< path and query
    std::string operator_name;
    std::string body;
};

/// Sends `request` once to `daemon` ("ADDRESS:PORT") and returns the body of
/// the answer. Fails with the failure that the daemon reports. Fails with
/// `endpoint_unreachable` when the connection cannot be opened or a GET request
/// gets no answer, and with `store_result_unknown` when a change gets no answer
/// and may have taken effect.
[[nodiscard]] state::result<std::string> exchange_with_daemon(const std::string& daemon,
                                                              const daemon_request& request);

/// Returns the exit code for a failure.
[[nodiscard]] exit_code exit_code_of(const state::failure& failure);

/// Returns the operator name: the value of `--operator`, or else of the environment
/// variable USER.
[[nodiscard]] std::string operator_name_of(const argument_map& arguments);

} // namespace savoryrelay::ctl
