// Sets drain flags in a configuration document.
#pragma once

#include "savoryrelay/protocol/operators/operator_messages.h"

#include <string>

namespace savoryrelay::protocol {

/// Returns `document` with the `drained` flag of the endpoint or availability zone set to
/// `drained`. yaml-cpp writes the result; it keeps the values and their order but drops
/// the comments. Fails with `not_found` when the document has no such entry, and with
/// `invalid_configuration` when it cannot be parsed.
[[nodiscard]] state::result<std::string>
with_drain_flag(const std::string& document, const drain_request& request, bool drained);

} // namespace savoryrelay::protocol
