// The record of one daemon incarnation: a bounded queue of entries that one
// thread writes as signed segments and anchors in the platform's table.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/table_row.h"
#include "savoryrelay/state/record/record_entry.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Settings of a record writer.
struct record_settings {
    std::string chain; ///< unique to the incarnation; object names contain it
    std::size_t memory_limit_bytes = std::size_t{16} * 1024 * 1024; ///< of queued entries
    std::size_t segment_bytes = std::size_t{1} * 1024 * 1024;       ///< a segment is cut above this
    std::size_t segment_entries = 16'384;                           ///< at most 65,536
};

/// Encoding, signing and storage of segments.
struct record_hooks {
    /// Encodes and signs a segment. Fails when no key is valid at its time.
    std::function<state::result<state::sealed_segment>(state::segment_draft&)> seal;
    /// The value of an anchor row.
    std::function<std::string(const state::record_anchor&)> encode_anchor;
    state::platform_hooks platform;
};

/// Called when an entry is in the object store and covered by an anchor.
using durable_hook = std::function<void()>;

/// Writes one chain. `append`, `accepts_new_work` and `wait` may be called from
/// several threads; `flush` and `close` belong to one thread.
class record_writer {
public:
    record_writer(record_settings settings, record_hooks hooks, state::metrics& metrics);

    /// Fails with `record_unavailable` from 90% of the memory limit on. Call it
    /// before accepting a request whose deployment demands a record.
    [[nodiscard]] state::result<void> accepts_new_work() const;

    /// Queues an entry, which gets its sequence and time here. Fails with
    /// `record_unavailable` at the memory limit, for `request_accepted` from 90%
    /// of it on, and with `request_too_large` for a text above 4,096 bytes.
    [[nodiscard]] state::result<void> append(state::record_entry entry, state::wall_time now,
                                             durable_hook on_durable = {});

    /// Blocks until entries wait for durability, a segment is full, `interrupt`
    /// was called, or `at_most` has passed. After a failed flush entries do not
    /// end the wait, so that `at_most` spaces the attempts. Returns whether it
    /// ended before `at_most`.
    bool wait(state::milliseconds at_most);
    /// Ends a `wait`.
    void interrupt();

    /// Writes all queued entries and the anchor. After a failure everything is
    /// kept, and the next call continues.
    [[nodiscard]] state::result<void> flush(state::wall_time now);

    /// Writes all queued entries and ends the chain. Later appends fail; no
    /// append may run at the same time. May be repeated after a failure.
    [[nodiscard]] state::result<void> close(state::wall_time now);

    /// Bytes charged to queued entries.
    [[nodiscard]] std::size_t queued_bytes() const { return m_bytes.load(); }

private:
    struct queued_entry {
        state::record_entry entry;
        durable_hook on_durable;
        std::size_t charge = 0;
    };
    struct pending_segment {
        state::segment_draft draft;
        std::vector<durable_hook> hooks;
        std::size_t charge = 0;
        std::optional<state::sealed_segment> sealed;
    };
    using lane = std::vector<queued_entry>;

    [[nodiscard]] state::result<void> enqueue(state::record_entry entry, state::wall_time now,
                                              durable_hook on_durable);
    void drain_lanes();
    void cut_segment(state::wall_time now);
    [[nodiscard]] state::result<void> store_pending();
    [[nodiscard]] state::result<void> write_anchor();
    [[nodiscard]] bool reserve(std::size_t charge, std::size_t limit);

    record_settings m_settings;
    record_hooks m_hooks;
    state::gauge& m_queue_bytes;
    state::counter& m_entries;
    state::counter& m_segments;
    state::counter& m_refused;
    state::counter& m_failures;

    state::sharded_map<std::uint64_t, lane> m_lanes;
    // Taken under a lane's lock, so that all tickets below a value that was
    // read are in their lanes once each lane's lock has been taken after that.
    std::atomic<std::uint64_t> m_next_sequence{1};
    std::atomic<std::size_t> m_bytes{0}; // never above memory_limit_bytes
    std::atomic<bool> m_closed{false};
    std::atomic<bool> m_last_flush_failed{false};

    std::mutex m_wake_mutex;
    std::condition_variable m_wake;
    bool m_wake_requested = false; // guarded by m_wake_mutex

    // The rest belongs to the flushing thread.
    std::deque<queued_entry> m_batch; // sorted by sequence, without gaps
    std::uint64_t m_drained = 1;      // sequences below are in m_batch or written
    std::optional<pending_segment> m_pending;
    std::uint64_t m_next_number = 1;
    state::record_anchor m_written;  // last segment in the object store
    std::uint64_t m_anchored = 0;    // number of the last anchored segment
    std::uint64_t m_row_version = 0; // version of the anchor row
    std::optional<std::pair<state::table_transaction, std::uint64_t>> m_anchor_in_doubt;
    std::deque<std::pair<std::uint64_t, durable_hook>> m_unanchored; // by segment number
};

} // namespace savoryrelay::coordination
