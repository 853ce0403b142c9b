// Erases a customer's recorded content. The chain contains only salted digests of
// the content, so it still verifies after the erasure.
#pragma once

#include "savoryrelay/coordination/record/record_writer.h"

namespace savoryrelay::coordination {

/// Deletes all recorded content and salts of `customer` in every chain, and
/// records who requested it. Returns the number of deleted objects. Does not
/// delete content that is still queued, so flush the writer first. May be
/// repeated.
[[nodiscard]] state::result<std::size_t>
erase_customer_content(const state::platform_hooks& platform, record_writer& record,
                       const state::customer_id& customer, const std::string& actor,
                       state::wall_time now);

} // namespace savoryrelay::coordination
