// Forms batches, and handles conflicts and lost replies.
#include "savoryrelay/coordination/booking/group_commit.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace savoryrelay::coordination {
namespace {

constexpr std::size_t queue_count = 16;

} // namespace

group_commit::group_commit(group_commit_settings settings, state::platform_hooks platform,
                           std::string write_key_prefix, state::metrics& metrics)
    : m_settings(settings), m_platform(std::move(platform)),
      m_write_key_prefix(std::move(write_key_prefix)),
      m_transactions(metrics.counter_of("savoryrelay_booking_transactions_total")),
      m_rows(metrics.counter_of("savoryrelay_booking_rows_total")),
      m_conflicts(metrics.counter_of("savoryrelay_booking_conflicts_total")),
      m_lost_replies(metrics.counter_of("savoryrelay_booking_lost_replies_total")),
      m_undecided_rows(metrics.gauge_of("savoryrelay_booking_undecided_rows")) {}

void group_commit::submit(row_write write) {
    const auto queue = std::hash<std::string>{}(write.key) % queue_count;
    m_queues.update(queue, [&](auto& writes) { writes.push_back(std::move(write)); });
    {
        const std::scoped_lock lock(m_signal_mutex);
        m_has_work = true;
    }
    m_signal.notify_one();
}

bool group_commit::wait_for_work(state::milliseconds timeout, state::milliseconds batch_delay) {
    std::unique_lock lock(m_signal_mutex);
    m_signal.wait_for(lock, timeout, [&] { return m_has_work || m_stopped; });
    if (m_has_work && !m_stopped) {
        m_signal.wait_for(lock, batch_delay, [&] { return m_stopped; });
    }
    return !m_stopped;
}

void group_commit::stop() {
    {
        const std::scoped_lock lock(m_signal_mutex);
        m_stopped = true;
    }
    m_signal.notify_all();
}

std::size_t group_commit::undecided() const {
    return static_cast<std::size_t>(m_undecided_rows.value());
}

std::vector<row_write> group_commit::take_queued() {
    {
        const std::scoped_lock lock(m_signal_mutex);
        m_has_work = false;
    }
    std::vector<row_write> taken;
    for (std::size_t queue = 0; queue < queue_count; ++queue) {
        m_queues.update_existing(queue, [&](auto& writes) {
            std::move(writes.begin(), writes.end(), std::back_inserter(taken));
            writes.clear();
        });
    }
    return taken;
}

void group_commit::flush(state::time_point now) {
    resolve_undecided(now);

    std::vector<row_write> batch_writes;
    std::size_t bytes = 0;
    for (auto& write : take_queued()) {
        const bool full = batch_writes.size() >= m_settings.max_rows ||
                          bytes + write.value.size() > m_settings.max_bytes;
        if (full && !batch_writes.empty()) {
            commit(std::exchange(batch_writes, {}), now);
            bytes = 0;
        }
        bytes += write.value.size();
        batch_writes.push_back(std::move(write));
    }
    commit(std::move(batch_writes), now);
}

group_commit::batch group_commit::make_batch(std::vector<row_write> writes) {
    batch result;
    result.transaction.write_key = m_write_key_prefix + "/" + std::to_string(++m_sequence);
    for (const auto& write : writes) {
        result.transaction.checks.push_back({write.key, write.expected_version});
        result.transaction.puts.push_back({write.key, write.value});
    }
    result.writes = std::move(writes);
    return result;
}

void group_commit::commit(std::vector<row_write> writes, state::time_point now) {
    // A rejected transaction completes at least one conflicting write, so each
    // iteration leaves fewer writes and the loop ends.
    while (!writes.empty()) {
        auto sent = make_batch(std::move(writes));
        writes.clear();
        m_transactions.add();
        const auto attempted =
            state::collect([&] { return m_platform.transact(sent.transaction); });
        if (attempted) {
            writes = complete_batch(std::move(sent), attempted.value(), now);
        } else if (attempted.error().kind == state::failure_kind::store_unavailable) {
            for (const auto& write : sent.writes) {
                write.completed({commit_status::not_written, 0}, now);
            }
        } else {
            m_lost_replies.add();
            m_undecided_rows.add(static_cast<std::int64_t>(sent.writes.size()));
            m_undecided.push_back(std::move(sent));
            resolve_undecided(now);
        }
    }
}

std::vector<row_write> group_commit::complete_batch(batch sent,
                                                    const state::transaction_result& outcome,
                                                    state::time_point now) {
    if (outcome.committed) {
        m_rows.add(sent.writes.size());
        for (const auto& write : sent.writes) {
            write.completed({commit_status::committed, outcome.version}, now);
        }
        return {};
    }
    std::vector<row_write> to_retry;
    for (auto& write : sent.writes) {
        // A rejection that names no row counts as a conflict of every row, because
        // otherwise the batch would be retried forever.
        const bool conflicts = outcome.conflicts.empty() ||
                               std::find(outcome.conflicts.begin(), outcome.conflicts.end(),
                                         write.key) != outcome.conflicts.end();
        if (conflicts) {
            m_conflicts.add();
            write.completed({commit_status::conflict, 0}, now);
        } else {
            to_retry.push_back(std::move(write));
        }
    }
    return to_retry;
}

void group_commit::resolve_undecided(state::time_point now) {
    for (auto& sent : std::exchange(m_undecided, {})) {
        auto stored = state::collect(
            [&] { return m_platform.read_write_result(sent.transaction.write_key); });
        std::optional<state::transaction_result> outcome;
        if (stored && stored.value()) {
            outcome = stored.value();
        } else if (stored) {
            // The first request may still arrive. Sending it again with the same
            // write key returns its result and applies it at most once.
            const auto repeated =
                state::collect([&] { return m_platform.transact(sent.transaction); });
            if (repeated) {
                outcome = repeated.value();
            }
        }
        if (!outcome) {
            m_undecided.push_back(std::move(sent));
            continue;
        }
        m_undecided_rows.add(-static_cast<std::int64_t>(sent.writes.size()));
        for (auto& write : complete_batch(std::move(sent), *outcome, now)) {
            submit(std::move(write));
        }
    }
}

} // namespace savoryrelay::coordination
