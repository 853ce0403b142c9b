// Group commit: batches queued row writes into transactions on the platform's
// table.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/platform_hooks.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// How one row write ended.
enum class commit_status {
    committed,   ///< the row is durable
    conflict,    ///< the row had a different version; it was not written
    not_written, ///< the store was unavailable and certainly wrote nothing
};

/// The result of one row write. `version` is the row's new version if the write
/// was committed.
struct row_write_result {
    commit_status status = commit_status::not_written;
    std::uint64_t version = 0;
};

/// A conditional write of one row.
struct row_write {
    std::string key;
    std::uint64_t expected_version = 0; ///< 0 if the row must not exist
    std::string value;
    /// Called once by the flushing thread, with no lock held.
    std::function<void(const row_write_result&, state::time_point now)> completed;
};

/// Limits of one transaction.
struct group_commit_settings {
    std::size_t max_rows = 256; ///< rows in a transaction, >= 1
    std::size_t max_bytes =
        1024 * 1024; ///< bytes of values in a transaction; a larger row is sent alone
};

/// Collects row writes from any number of threads; one thread commits them.
class group_commit {
public:
    /// `write_key_prefix` must be unique to this incarnation of the process.
    group_commit(group_commit_settings settings, state::platform_hooks platform,
                 std::string write_key_prefix, state::metrics& metrics);

    /// Queues a write and wakes the flushing thread. Does not block on the store.
    void submit(row_write write);

    /// Commits the queued writes and resolves those whose reply was lost.
    /// Blocks on the store. Only one thread may call it.
    void flush(state::time_point now);

    /// Blocks until a write is queued, `timeout` has passed or `stop` was called.
    /// If a write is queued, waits for `batch_delay` longer so that one batch takes
    /// more writes. Returns false once stopped.
    bool wait_for_work(state::milliseconds timeout, state::milliseconds batch_delay);

    /// Ends a running `wait_for_work` and all later ones.
    void stop();

    /// Returns the number of writes whose reply was lost and whose result has not
    /// been read yet.
    [[nodiscard]] std::size_t undecided() const;

private:
    struct batch {
        state::table_transaction transaction;
        std::vector<row_write> writes;
    };

    std::vector<row_write> take_queued();
    void commit(std::vector<row_write> writes, state::time_point now);
    /// Completes the writes that were committed or that conflicted. Returns the
    /// others, which must be sent again.
    std::vector<row_write> complete_batch(batch sent, const state::transaction_result& outcome,
                                          state::time_point now);
    void resolve_undecided(state::time_point now);
    batch make_batch(std::vector<row_write> writes);

    const group_commit_settings m_settings;
    const state::platform_hooks m_platform;
    const std::string m_write_key_prefix;
    state::counter& m_transactions;
    state::counter& m_rows;
    state::counter& m_conflicts;
    state::counter& m_lost_replies;
    state::gauge& m_undecided_rows;

    state::sharded_map<std::size_t, std::vector<row_write>> m_queues;
    std::uint64_t m_sequence = 0;   // used only by the flushing thread
    std::vector<batch> m_undecided; // used only by the flushing thread

    std::mutex m_signal_mutex;
    std::condition_variable m_signal;
    bool m_has_work = false; // guarded by m_signal_mutex
    bool m_stopped = false;  // guarded by m_signal_mutex
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::commit_status> {
    using v = savoryrelay::coordination::commit_status;
    static constexpr std::array rows{
        enum_name<v>{v::committed, "committed"},
        enum_name<v>{v::conflict, "conflict"},
        enum_name<v>{v::not_written, "not_written"},
    };
};
