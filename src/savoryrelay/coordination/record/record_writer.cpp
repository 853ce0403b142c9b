// Implements queueing, batching and anchoring of record entries.
#include "savoryrelay/coordination/record/record_writer.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;

constexpr std::uint64_t shard_count = 16;
constexpr std::size_t max_text_bytes = 4'096;
// Accounts for the entry's fixed fields, its string objects and its `on_durable`
// hook.
constexpr std::size_t entry_overhead_bytes = sizeof(state::record_entry) + 128;
// New work is refused above this share of the memory limit, which reserves space
// for the outcomes of work in flight.
constexpr std::size_t new_work_percent = 90;

std::size_t new_work_limit(const record_settings& settings) {
    return settings.memory_limit_bytes / 100 * new_work_percent;
}

std::size_t text_bytes(const state::record_entry& entry) {
    return entry.actor.size() + entry.customer.value().size() + entry.deployment.value().size() +
           entry.request.value().size() + entry.action.size() + entry.subject.size() +
           entry.result.size();
}

bool has_oversized_text(const state::record_entry& entry) {
    return std::max({entry.actor.size(), entry.customer.value().size(),
                     entry.deployment.value().size(), entry.request.value().size(),
                     entry.action.size(), entry.subject.size(), entry.result.size()}) >
           max_text_bytes;
}

} // namespace

record_writer::record_writer(record_settings settings, record_hooks hooks, state::metrics& metrics)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)),
      m_queued_bytes_gauge(metrics.gauge_of("record_queue_bytes")),
      m_entries(metrics.counter_of("record_entries_total")),
      m_segments(metrics.counter_of("record_segments_total")),
      m_refused(metrics.counter_of("record_entries_refused_total")),
      m_failures(metrics.counter_of("record_write_failures_total")) {
    assert(m_settings.segment_entries >= 1 && m_settings.segment_entries <= 65'536);
    assert(!m_settings.chain.empty());
}

state::result<void> record_writer::accepts_new_work() const {
    const auto limit = new_work_limit(m_settings);
    if (m_closed.load() || m_queued_bytes.load() >= limit) {
        return state::fail(failure_kind::record_unavailable,
                           "the record queue holds " + std::to_string(m_queued_bytes.load()) +
                               " of " + std::to_string(m_settings.memory_limit_bytes) + " bytes",
                           state::execution_outcome::not_run);
    }
    return {};
}

bool record_writer::reserve(std::size_t charged_bytes, std::size_t limit) {
    auto current = m_queued_bytes.load();
    do {
        if (current + charged_bytes > limit) {
            return false;
        }
    } while (!m_queued_bytes.compare_exchange_weak(current, current + charged_bytes));
    m_queued_bytes_gauge.set(static_cast<std::int64_t>(current + charged_bytes));
    return true;
}

state::result<void> record_writer::append(state::record_entry entry, state::wall_time now,
                                          durable_hook on_durable) {
    if (m_closed.load()) {
        m_refused.add();
        return state::fail(failure_kind::record_unavailable, "the record is closed");
    }
    return enqueue(std::move(entry), now, std::move(on_durable));
}

state::result<void> record_writer::enqueue(state::record_entry entry, state::wall_time now,
                                           durable_hook on_durable) {
    if (has_oversized_text(entry)) {
        m_refused.add();
        return state::fail(failure_kind::request_too_large,
                           "a text field of a record entry has more than " +
                               std::to_string(max_text_bytes) + " bytes");
    }

    // Content counts towards the memory limit only if the rule keeps it or needs
    // its digest.
    if (entry.rule == state::record_rule::none) {
        entry.content.clear();
    }
    const auto charged_bytes = entry_overhead_bytes + text_bytes(entry) + entry.content.size();
    const bool new_work = entry.kind == state::record_kind::request_accepted;
    if (!reserve(charged_bytes,
                 new_work ? new_work_limit(m_settings) : m_settings.memory_limit_bytes)) {
        m_refused.add();
        return state::fail(failure_kind::record_unavailable,
                           "the record queue of " + std::to_string(m_settings.memory_limit_bytes) +
                               " bytes is full");
    }

    // All entries of a request go to the same queue.
    const bool urgent = static_cast<bool>(on_durable);
    const auto shard = std::hash<state::request_id>{}(entry.request) % shard_count;
    entry.at = now;
    m_shards.update(shard, [&](entry_queue& queue) {
        entry.sequence = m_next_sequence.fetch_add(1);
        queue.push_back({std::move(entry), std::move(on_durable), charged_bytes});
    });
    m_entries.add();
    // After a failed flush no append wakes the flushing thread, because otherwise
    // each append would cause another attempt at the failing store.
    if (!m_last_flush_failed.load() &&
        (urgent || m_queued_bytes.load() >= m_settings.segment_bytes)) {
        interrupt();
    }
    return {};
}

bool record_writer::wait(state::milliseconds timeout) {
    std::unique_lock lock(m_wake_mutex);
    m_wake.wait_for(lock, timeout, [this] { return m_wake_requested; });
    return std::exchange(m_wake_requested, false);
}

void record_writer::interrupt() {
    {
        const std::scoped_lock lock(m_wake_mutex);
        m_wake_requested = true;
    }
    m_wake.notify_one();
}

void record_writer::take_queued_entries() {
    // Every entry below `limit` is in its queue or is being added under the lock of
    // that queue, so the entries taken here have consecutive sequences without
    // gaps. Each entry is moved directly to its position, because sorting moved
    // entries several times and took more time than sealing.
    const auto limit = m_next_sequence.load();
    const auto old_size = m_batch.size();
    m_batch.resize(old_size + (limit - m_first_queued_sequence));
    for (std::uint64_t shard = 0; shard < shard_count; ++shard) {
        m_shards.update(shard, [&](entry_queue& queue) {
            const auto first_later =
                std::find_if(queue.begin(), queue.end(),
                             [&](const auto& item) { return item.entry.sequence >= limit; });
            std::for_each(queue.begin(), first_later, [&](queued_entry& item) {
                m_batch[old_size + (item.entry.sequence - m_first_queued_sequence)] =
                    std::move(item);
            });
            queue.erase(queue.begin(), first_later);
        });
    }
    m_first_queued_sequence = limit;
}

void record_writer::build_segment(state::wall_time now) {
    pending_segment segment;
    segment.draft.header = {.chain = m_settings.chain,
                            .number = m_next_segment_number,
                            .first_sequence = m_batch.front().entry.sequence,
                            .previous_segment = m_last_stored.digest,
                            .key_id = {},
                            .written_at = now};
    while (!m_batch.empty() && segment.draft.entries.size() < m_settings.segment_entries &&
           (segment.charged_bytes < m_settings.segment_bytes || segment.draft.entries.empty())) {
        auto& item = m_batch.front();
        segment.charged_bytes += item.charged_bytes;
        segment.draft.closed = item.entry.kind == state::record_kind::chain_closed;
        segment.draft.entries.push_back(std::move(item.entry));
        if (item.on_durable) {
            segment.hooks.push_back(std::move(item.on_durable));
        }
        m_batch.pop_front();
    }
    m_pending = std::move(segment);
}

state::result<void> record_writer::store_segment() {
    auto& segment = *m_pending;
    const auto& header = segment.draft.header;
    if (!segment.sealed) {
        BOOST_LEAF_ASSIGN(segment.sealed, m_hooks.seal(segment.draft));
    }

    // Content is stored first, so that no segment refers to missing content if the
    // process is killed between the writes. Names and bytes are the same at each
    // attempt, so repeating a write after a lost reply is safe.
    for (const auto& content : segment.sealed->contents) {
        BOOST_LEAF_CHECK(m_hooks.platform.put_object(
            state::content_object(header.chain, header.number, content.customer), content.bytes));
    }
    BOOST_LEAF_CHECK(m_hooks.platform.put_object(state::segment_object(header.chain, header.number),
                                                 segment.sealed->bytes));

    m_last_stored = {header.chain, header.number, segment.sealed->digest, segment.draft.closed};
    for (auto& hook : segment.hooks) {
        m_unanchored_hooks.emplace_back(header.number, std::move(hook));
    }
    m_next_segment_number = header.number + 1;
    m_queued_bytes -= segment.charged_bytes;
    m_queued_bytes_gauge.set(static_cast<std::int64_t>(m_queued_bytes.load()));
    m_segments.add();
    m_pending.reset();
    return {};
}

state::result<void> record_writer::write_anchor() {
    while (m_last_anchored < m_last_stored.segment) {
        // A write whose result is unknown is repeated with its write key. The store
        // then returns the first result and does not apply the write twice.
        if (!m_pending_anchor) {
            const auto key = state::anchor_key(m_settings.chain);
            const auto write_key = key + "/" + std::to_string(m_last_stored.segment);
            m_pending_anchor = {
                state::table_transaction{write_key,
                                         {{key, m_anchor_version}},
                                         {{key, m_hooks.encode_anchor(m_last_stored)}},
                                         {}},
                m_last_stored.segment};
        }
        BOOST_LEAF_AUTO(outcome, m_hooks.platform.transact(m_pending_anchor->first));
        if (!outcome.committed) {
            return state::fail(failure_kind::store_conflict,
                               "another process wrote " + state::anchor_key(m_settings.chain) +
                                   "; each incarnation must use its own chain");
        }
        m_anchor_version = outcome.version;
        m_last_anchored = m_pending_anchor->second;
        m_pending_anchor.reset();

        // No lock is held while `on_durable` hooks run.
        while (!m_unanchored_hooks.empty() && m_unanchored_hooks.front().first <= m_last_anchored) {
            const auto hook = std::move(m_unanchored_hooks.front().second);
            m_unanchored_hooks.pop_front();
            hook();
        }
    }
    return {};
}

state::result<void> record_writer::flush(state::wall_time now) {
    const auto attempted = state::collect([&]() -> state::result<void> {
        take_queued_entries();
        while (m_pending || !m_batch.empty()) {
            if (!m_pending) {
                build_segment(now);
            }
            BOOST_LEAF_CHECK(store_segment());
        }
        return write_anchor();
    });
    m_last_flush_failed = !attempted.has_value();
    if (!attempted) {
        m_failures.add();
        return state::fail(attempted.error());
    }
    return {};
}

state::result<void> record_writer::close(state::wall_time now) {
    if (!m_closed.exchange(true)) {
        // This flush frees queue space for the closing entry.
        const auto flushed = state::collect([&] { return flush(now); });
        state::record_entry last;
        last.kind = state::record_kind::chain_closed;
        last.actor = m_settings.chain;
        last.result = "ok";
        const auto queued = state::collect([&] { return enqueue(std::move(last), now, {}); });
        if (!flushed || !queued) {
            m_closed = queued.has_value();
            return state::fail(flushed ? queued.error() : flushed.error());
        }
    }
    return flush(now);
}

} // namespace savoryrelay::coordination
