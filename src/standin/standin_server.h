// Shared parts of all stand-in roles: JSON answers, the control path and the faults that
// apply before a request is handled.
#pragma once

#include "standin_control.h"

#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace savoryrelay::standin {

using transport::pause_for;

/// Sends a JSON answer.
boost::asio::awaitable<void> send_json(transport::response_writer& writer, unsigned status,
                                       std::string body);

/// Returns header fields that a role adds to its answers.
using answer_fields_hook = std::function<transport::http_fields()>;

/// Returns the request handler of a stand-in. It serves POST /control, applies the
/// fault switches and passes every other request to `role_handler`. Refusals carry the fields
/// of `refusal_fields`, if it is set.
[[nodiscard]] transport::request_handler with_control(control_switches& switches,
                                                      transport::request_handler role_handler,
                                                      answer_fields_hook refusal_fields = {});

} // namespace savoryrelay::standin
