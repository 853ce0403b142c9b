// The configuration in the platform's table: conditional submission and the
// reading of revisions. A revision is the version of the row `config/current`.
#pragma once

#include "savoryrelay/protocol/operators/operator_messages.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/platform/table_row.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::daemon {

/// Submits and reads documents. Its functions block and may be called from
/// several threads.
class table_configuration {
public:
    /// `writer` makes write keys unique: the daemon's incarnation.
    table_configuration(std::string writer, const state::platform_hooks& platform)
        : m_writer(std::move(writer)), m_platform(platform) {}

    /// Writes `document` on condition that `expected` is the present revision.
    /// Returns the new revision. Fails with `invalid_configuration`,
    /// `revision_conflict` naming the winner, `store_unavailable`, or
    /// `store_result_unknown` with the write key.
    [[nodiscard]] state::result<std::uint64_t> submit(const std::string& document,
                                                      std::uint64_t expected,
                                                      const std::string& who,
                                                      state::time_point now);

    /// The present revision, or the given one. Fails with `not_found`.
    [[nodiscard]] state::result<protocol::configuration_revision>
    read(std::optional<std::uint64_t> revision) const;

private:
    [[nodiscard]] state::result<state::transaction_result>
    transact(const state::table_transaction& write) const;
    [[nodiscard]] state::result<std::uint64_t> refuse(std::uint64_t expected) const;

    std::string m_writer;
    const state::platform_hooks& m_platform;
    std::atomic<std::uint64_t> m_writes{0};
};

} // namespace savoryrelay::daemon
