// Writes the record of one daemon incarnation. A bounded queue collects entries;
// one thread writes them as signed segments to the object store and anchors the
// segments in the platform's table.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/platform_hooks.h"
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
    std::string chain; ///< unique to the incarnation; part of the object names
    std::size_t memory_limit_bytes = std::size_t{16} * 1024 * 1024; ///< limit for queued entries
    std::size_t segment_bytes =
        std::size_t{1} * 1024 * 1024;     ///< a segment ends when it reaches this size
    std::size_t segment_entries = 16'384; ///< entries per segment, at most 65,536
};

/// Hooks that encode, sign and store segments.
struct record_hooks {
    /// Encodes and signs a segment. Fails if no key is valid at the segment's time.
    std::function<state::result<state::sealed_segment>(state::segment_draft&)> seal;
    /// Encodes the value of an anchor row.
    std::function<std::string(const state::record_anchor&)> encode_anchor;
    state::platform_hooks platform;
};

/// Called when an entry is stored in the object store and covered by an anchor.
using durable_hook = std::function<void()>;

/// Writes one chain. Several threads may call `append`, `accepts_new_work` and
/// `wait`; only one thread may call `flush` and `close`.
class record_writer {
public:
    record_writer(record_settings settings, record_hooks hooks, state::metrics& metrics);

    /// Fails with `record_unavailable` once 90% of the memory limit is in use. Must
    /// be called before accepting a request whose deployment requires a record.
    [[nodiscard]] state::result<void> accepts_new_work() const;

    /// Sets the sequence and time of an entry and queues it. Fails with
    /// `record_unavailable` if the entry would exceed the memory limit, or 90% of
    /// it for a `request_accepted` entry, and with `request_too_large` if a text
    /// field has more than 4,096 bytes.
    [[nodiscard]] state::result<void> append(state::record_entry entry, state::wall_time now,
                                             durable_hook on_durable = {});

    /// Blocks until an entry with an `on_durable` hook is queued, a segment is full,
    /// `interrupt` is called or `timeout` has passed. After a failed flush new
    /// entries do not end the wait, so attempts are `timeout` apart. Returns
    /// whether the wait ended before `timeout`.
    bool wait(state::milliseconds timeout);
    /// Ends the current or next `wait`.
    void interrupt();

    /// Writes all queued entries and the anchor. After a failure nothing is lost
    /// and the next call continues.
    [[nodiscard]] state::result<void> flush(state::wall_time now);

    /// Writes all queued entries and ends the chain. Later appends fail. No append
    /// may run concurrently. May be repeated after a failure.
    [[nodiscard]] state::result<void> close(state::wall_time now);

    /// Returns the bytes that queued entries use of the memory limit.
    [[nodiscard]] std::size_t queued_bytes() const { return m_queued_bytes.load(); }

private:
    struct queued_entry {
        state::record_entry entry;
        durable_hook on_durable;
        std::size_t charged_bytes = 0; ///< bytes that count towards the memory limit
    };
    struct pending_segment {
        state::segment_draft draft;
        std::vector<durable_hook> hooks;
        std::size_t charged_bytes = 0; ///< sum over the entries
        std::optional<state::sealed_segment> sealed;
    };
    using entry_queue = std::vector<queued_entry>;

    [[nodiscard]] state::result<void> enqueue(state::record_entry entry, state::wall_time now,
                                              durable_hook on_durable);
    void take_queued_entries();
    void build_segment(state::wall_time now);
    [[nodiscard]] state::result<void> store_segment();
    [[nodiscard]] state::result<void> write_anchor();
    [[nodiscard]] bool reserve(std::size_t charged_bytes, std::size_t limit);

    record_settings m_settings;
    record_hooks m_hooks;
    state::gauge& m_queued_bytes_gauge;
    state::counter& m_entries;
    state::counter& m_segments;
    state::counter& m_refused;
    state::counter& m_failures;

    state::sharded_map<std::uint64_t, entry_queue> m_shards;
    // Incremented under the lock of an entry queue. A thread that reads the value and
    // then locks each queue finds all entries with lower sequences there.
    std::atomic<std::uint64_t> m_next_sequence{1};
    std::atomic<std::size_t> m_queued_bytes{0}; // at most memory_limit_bytes
    std::atomic<bool> m_closed{false};
    std::atomic<bool> m_last_flush_failed{false};

    std::mutex m_wake_mutex;
    std::condition_variable m_wake;
    bool m_wake_requested = false; // guarded by m_wake_mutex

    // Only the flushing thread uses the following members.
    std::deque<queued_entry> m_batch;          // sorted by sequence, without gaps
    std::uint64_t m_first_queued_sequence = 1; // lower sequences are in m_batch or stored
    std::optional<pending_segment> m_pending;
    std::uint64_t m_next_segment_number = 1;
    state::record_anchor m_last_stored; // last segment stored in the object store
    std::uint64_t m_last_anchored = 0;  // number of the last anchored segment
    std::uint64_t m_anchor_version = 0; // version of the anchor row
    std::optional<std::pair<state::table_transaction, std::uint64_t>> m_pending_anchor;
    // Hooks of entries that are stored but not anchored, with their segment numbers.
    std::deque<std::pair<std::uint64_t, durable_hook>> m_unanchored_hooks;
};

} // namespace savoryrelay::coordination
