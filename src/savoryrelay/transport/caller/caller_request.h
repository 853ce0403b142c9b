// Decodes the requests of callers. The bodies are decoded by protocol/http_api.
#pragma once

#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/transport/http/http_message.h"

#include <string>
#include <string_view>

namespace savoryrelay::transport {

/// Prefix of the path of a call to a plain service; the service's name follows.
inline constexpr std::string_view service_path = "/v1/services/";

/// Returns the caller's bearer token, or an empty string.
[[nodiscard]] std::string read_bearer_token(const http_request& request);

/// Decodes a completion. Fails with `invalid_request`.
[[nodiscard]] state::result<coordination::call_request>
read_completion(const http_request& request);

/// Decodes a call to a plain service. Fails with `invalid_request`.
[[nodiscard]] state::result<coordination::call_request>
read_service_call(const http_request& request);

/// Returns the path that is sent to the service: the part after the service's
/// name, or "/".
[[nodiscard]] std::string service_target(const http_request& request);

} // namespace savoryrelay::transport
