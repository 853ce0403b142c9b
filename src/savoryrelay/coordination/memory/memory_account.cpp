// Grants memory within the budget and closes connections that hold it without progress.
#include "savoryrelay/coordination/memory/memory_account.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {
namespace {

constexpr std::uint64_t bytes_per_mb = 1'000'000;
// Memory of the process itself: the larger of these, the second as a part of the machine's.
constexpr std::uint64_t min_process_mb = 64;
constexpr double process_share = 0.4;
// Descriptors for files, and the parts of the others by listener. The rest is for connections
// to endpoints, peers and the store.
constexpr std::uint64_t file_descriptors = 200;
constexpr std::array<double, listener_count> descriptor_shares{0.625, 0.03125, 0.03125, 0.0625};

// A connection that holds more than `small_holder_bytes` may use `large_share` of the budget,
// other callers `callers_share`. Large requests leave room for ordinary ones, and callers for
// readiness, metrics and peers.
constexpr std::uint64_t small_holder_bytes = 128 * 1024;
constexpr double large_share = 0.75;
constexpr double callers_share = 0.95;
// Part of the budget that a search for memory frees, and the interval between searches. They
// bound the work of the searches.
constexpr double freed_share = 1.0 / 16;
constexpr state::milliseconds search_interval{20};
// Part of a listener's connections that close at once.
constexpr std::size_t closed_divisor = 32;

} // namespace

account_limits limits_of_machine(std::uint64_t memory_mb, std::uint64_t max_descriptors) {
    account_limits limits;
    const auto process_mb = std::max(
        min_process_mb, static_cast<std::uint64_t>(static_cast<double>(memory_mb) * process_share));
    if (memory_mb > process_mb) {
        limits.budget_bytes = (memory_mb - process_mb) * bytes_per_mb;
    }
    if (max_descriptors > file_descriptors) {
        const auto sockets = static_cast<double>(max_descriptors - file_descriptors);
        for (std::size_t i = 0; i < listener_count; ++i) {
            limits.connections.at(i) = std::max<std::size_t>(
                1, static_cast<std::size_t>(sockets * descriptor_shares.at(i)));
        }
    }
    return limits;
}

memory_account::holder_id memory_account::add(listener from, std::function<void()> evict_hook,
                                              state::time_point now) {
    const auto index = static_cast<std::size_t>(from);
    const auto limit = m_limits.connections.at(index);
    if (limit > 0 && m_connections.at(index).load() >= limit) {
        m_evicted_descriptors += evict(&from, [&](const std::vector<holder_state>& holders) {
            return choose_for_descriptors(holders, 1 + limit / closed_divisor);
        });
    }
    const auto id = m_next_id.fetch_add(1);
    ++m_connections.at(index);
    auto& part = shard_of(id);
    const std::scoped_lock lock(part.mutex);
    part.holders.emplace(id,
                         entry{{0, holder_phase::idle, now, false}, from, std::move(evict_hook)});
    return id;
}

void memory_account::remove(holder_id id) {
    auto& part = shard_of(id);
    const std::scoped_lock lock(part.mutex);
    const auto found = part.holders.find(id);
    if (found == part.holders.end()) {
        return;
    }
    m_held -= found->second.state.bytes;
    if (!found->second.state.is_evicted) {
        --m_connections.at(static_cast<std::size_t>(found->second.from));
    }
    part.holders.erase(found);
}

loan memory_account::hold(holder_id id, std::uint64_t bytes, state::time_point now) {
    bool is_evicted = false;
    std::uint64_t further = 0;
    {
        auto& part = shard_of(id);
        const std::scoped_lock lock(part.mutex);
        auto& found = part.holders.at(id);
        auto& holder = found.state;
        is_evicted = holder.is_evicted;
        if (bytes <= holder.bytes) {
            m_held -= holder.bytes - bytes;
            holder.bytes = bytes;
            return loan::granted;
        }
        further = bytes - holder.bytes;
        const auto budget = m_limits.budget_bytes;
        const auto usable = usable_bytes(found.from, bytes);
        // Reserves before it compares, because other shards grant at the same time.
        const auto before = m_held.fetch_add(further);
        if (!is_evicted && (budget == 0 || before + further <= usable)) {
            holder.bytes = bytes;
            return loan::granted;
        }
        m_held -= further;
    }
    if (is_evicted) {
        return loan::refused;
    }
    evict_for_memory(further, now);
    return loan::must_wait;
}

std::uint64_t memory_account::usable_bytes(listener from, std::uint64_t bytes) const {
    const double share = bytes > small_holder_bytes  ? large_share
                         : from == listener::callers ? callers_share
                                                     : 1;
    return static_cast<std::uint64_t>(static_cast<double>(m_limits.budget_bytes) * share);
}

bool memory_account::enter(holder_id id, holder_phase phase, state::time_point now) {
    auto& part = shard_of(id);
    const std::scoped_lock lock(part.mutex);
    auto& holder = part.holders.at(id).state;
    if (holder.is_evicted) {
        return false;
    }
    holder.phase = phase;
    holder.since = now;
    return true;
}

std::size_t memory_account::connections(listener from) const {
    return m_connections.at(static_cast<std::size_t>(from)).load();
}

void memory_account::evict_for_memory(std::uint64_t bytes, state::time_point now) {
    auto next = m_next_eviction.load();
    if (now < next || !m_next_eviction.compare_exchange_strong(next, now + search_interval)) {
        return;
    }
    const auto wanted =
        std::max(bytes, static_cast<std::uint64_t>(static_cast<double>(m_limits.budget_bytes) *
                                                   freed_share));
    m_evicted_memory += evict(nullptr, [&](const std::vector<holder_state>& holders) {
        return choose_for_memory(holders, wanted, now);
    });
}

std::size_t memory_account::evict(const listener* from, const chooser& choose) {
    std::vector<holder_id> ids;
    std::vector<holder_state> states;
    for (auto& part : m_shards) {
        const std::scoped_lock lock(part.mutex);
        for (const auto& [id, holder] : part.holders) {
            if (from == nullptr || holder.from == *from) {
                ids.push_back(id);
                states.push_back(holder.state);
            }
        }
    }
    std::size_t evicted = 0;
    for (const auto index : choose(states)) {
        auto& part = shard_of(ids.at(index));
        std::function<void()> hook;
        {
            const std::scoped_lock lock(part.mutex);
            const auto found = part.holders.find(ids.at(index));
            // The connection may have gone on meanwhile.
            if (found == part.holders.end() || found->second.state.is_evicted ||
                found->second.state.phase == holder_phase::serving) {
                continue;
            }
            found->second.state.is_evicted = true;
            --m_connections.at(static_cast<std::size_t>(found->second.from));
            hook = std::move(found->second.evict);
        }
        hook();
        ++evicted;
    }
    return evicted;
}

} // namespace savoryrelay::coordination
