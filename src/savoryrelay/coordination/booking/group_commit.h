// Group commit: the row writes that wait are sent to the platform's table in
// one transaction.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/table_row.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// What became of one row write.
enum class commit_verdict {
    committed,   ///< the row is durable
    conflict,    ///< the row had another version; nothing was written
    not_written, ///< the store was unavailable; it is certain that nothing was written
};

/// The result of one row write. `version` is the row's when committed.
struct row_commit {
    commit_verdict verdict = commit_verdict::not_written;
    std::uint64_t version = 0;
};

/// A conditional write of one row.
struct row_write {
    std::string key;
    std::uint64_t expected_version = 0; ///< 0: the row must be absent
    std::string value;
    /// Called once by the flushing thread, without a lock.
    std::function<void(const row_commit&, state::time_point now)> completed;
};

/// Bounds of one transaction.
struct group_commit_settings {
    std::size_t max_rows = 256; ///< rows in a transaction, >= 1
    std::size_t max_bytes =
        1024 * 1024; ///< bytes of values in a transaction, unless one row is larger
};

/// Collects row writes from any thread; one thread flushes them.
class group_commit {
public:
    /// `write_key_prefix` must be unique to this run of the process.
    group_commit(group_commit_settings settings, state::platform_hooks platform,
                 std::string write_key_prefix, state::metrics& metrics);

    /// Adds a write and wakes the flushing thread. Does not block on the store.
    void submit(row_write write);

    /// Commits the writes that wait, and settles those whose reply was lost.
    /// Blocks on the store. Only one thread may call it.
    void flush(state::time_point now);

    /// Blocks until a write waits, `timeout` has passed or `stop` was called.
    /// Then lets more writes gather for `gather`. Returns false once stopped.
    bool wait_for_work(state::milliseconds timeout, state::milliseconds gather);

    /// Ends `wait_for_work`.
    void stop();

    /// Writes whose reply was lost and could not be read back yet.
    [[nodiscard]] std::size_t undecided() const;

private:
    struct batch {
        state::table_transaction transaction;
        std::vector<row_write> writes;
    };

    std::vector<row_write> drain();
    void commit(std::vector<row_write> writes, state::time_point now);
    /// Returns the writes to be sent again, because others of the batch conflicted.
    std::vector<row_write> conclude(batch sent, const state::transaction_result& outcome,
                                    state::time_point now);
    void settle_undecided(state::time_point now);
    batch make_batch(std::vector<row_write> writes);

    const group_commit_settings m_settings;
    const state::platform_hooks m_platform;
    const std::string m_write_key_prefix;
    state::counter& m_transactions;
    state::counter& m_rows;
    state::counter& m_conflicts;
    state::counter& m_lost_replies;
    state::gauge& m_undecided_rows;

    state::sharded_map<std::size_t, std::vector<row_write>> m_waiting;
    std::uint64_t m_sequence = 0;   // flushing thread only
    std::vector<batch> m_undecided; // flushing thread only

    std::mutex m_signal_mutex;
    std::condition_variable m_signal;
    bool m_has_work = false; // guarded by m_signal_mutex
    bool m_stopped = false;  // guarded by m_signal_mutex
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::commit_verdict> {
    using v = savoryrelay::coordination::commit_verdict;
    static constexpr std::array rows{
        enum_name<v>{v::committed, "committed"},
        enum_name<v>{v::conflict, "conflict"},
        enum_name<v>{v::not_written, "not_written"},
    };
};
