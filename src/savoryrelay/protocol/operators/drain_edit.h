// Setting of drain flags in a configuration document.
#pragma once

#include "savoryrelay/protocol/operators/operator_messages.h"

#include <string>

namespace savoryrelay::protocol {

/// `document` with the `drained` flag of the endpoint or zone set to `drained`.
/// The result is written anew by yaml-cpp, which keeps values and order but no
/// comments. Fails with `not_found` when the document has no such row, and
/// with `invalid_configuration` when it cannot be read.
[[nodiscard]] state::result<std::string>
with_drain_flag(const std::string& document, const drain_request& request, bool drained);

} // namespace savoryrelay::protocol
