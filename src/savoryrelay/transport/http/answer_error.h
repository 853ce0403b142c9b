// Error codes for answers that the strict reader rejects, so that a failed exchange names the
// defect.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_defect.h"

#include <boost/system/error_code.hpp>

namespace savoryrelay::transport {

/// Returns the error code of a defect, whose message is the name of the defect. `defect` is not
/// `none`.
[[nodiscard]] boost::system::error_code make_error_code(protocol::answer_defect defect);

} // namespace savoryrelay::transport
