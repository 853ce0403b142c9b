// Erasure of a customer's recorded content. The chain keeps salted digests
// only, so it verifies as before.
#pragma once

#include "savoryrelay/coordination/record/record_writer.h"

namespace savoryrelay::coordination {

/// Deletes all recorded content and salts of `customer`, in every chain, and
/// records who asked for it. Returns the number of deleted objects. Content
/// that is still queued is not covered: flush first. May be repeated.
[[nodiscard]] state::result<std::size_t>
erase_customer_content(const state::platform_hooks& platform, record_writer& record,
                       const state::customer_id& customer, const std::string& actor,
                       state::wall_time now);

} // namespace savoryrelay::coordination
