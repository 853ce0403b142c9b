// The account of the memory and the connections that a process holds for its clients. All
// servers of the process share it.
#pragma once

#include "savoryrelay/coordination/memory/eviction.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace savoryrelay::coordination {

/// The interfaces of a process that accept connections.
enum class listener { callers, readiness, metrics, peers };
inline constexpr std::size_t listener_count = 4;

/// Limits of the account; 0 means no limit.
struct account_limits {
    std::uint64_t budget_bytes = 0;
    std::array<std::size_t, listener_count> connections{}; ///< at once, by listener
};

/// Returns the limits on a machine with this memory, in 10^6 bytes, and this many descriptors.
/// They leave what the process needs for itself, its endpoints, its peers and the store.
[[nodiscard]] account_limits limits_of_machine(std::uint64_t memory_mb,
                                               std::uint64_t max_descriptors);

/// The result of a request for memory.
enum class loan {
    granted,
    must_wait, ///< others may give back soon; ask again after `loan_retry_interval`
    refused,   ///< the connection is to be closed
};

inline constexpr state::milliseconds loan_retry_interval{100};

/// Counts what each connection holds. Thread-safe; holders are spread over shards.
class memory_account {
public:
    using holder_id = std::uint64_t;

    explicit memory_account(account_limits limits) : m_limits(limits) {}
    ~memory_account() = default;
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    /// Adds a connection. `evict` is called at most once, on any thread, to close it. Closes
    /// others when the listener has as many as it may have.
    holder_id add(listener from, std::function<void()> evict, state::time_point now);
    void remove(holder_id id);

    /// Sets what the connection holds to `bytes` if that is granted. Holding less is always
    /// granted. Closes others if it is not.
    loan hold(holder_id id, std::uint64_t bytes, state::time_point now);
    /// Notes the begin of a phase, or the progress of a reader. Returns false, and notes nothing,
    /// if the connection is to be closed.
    bool enter(holder_id id, holder_phase phase, state::time_point now);

    [[nodiscard]] std::uint64_t budget_bytes() const { return m_limits.budget_bytes; }
    [[nodiscard]] std::uint64_t held_bytes() const { return m_held.load(); }
    [[nodiscard]] std::size_t connections(listener from) const;
    [[nodiscard]] std::uint64_t evicted_for_memory() const { return m_evicted_memory.load(); }
    [[nodiscard]] std::uint64_t evicted_for_descriptors() const {
        return m_evicted_descriptors.load();
    }

private:
    struct entry {
        holder_state state;
        listener from{};
        std::function<void()> evict;
    };
    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<holder_id, entry> holders; // guarded by mutex
    };
    static constexpr std::size_t shard_count = 8;
    using chooser = std::function<std::vector<std::size_t>(const std::vector<holder_state>&)>;

    shard& shard_of(holder_id id) { return m_shards[id % shard_count]; }
    /// Closes the connections that `choose` returns, of `from` or of all listeners. Returns
    /// their number.
    std::size_t evict(const listener* from, const chooser& choose);
    /// Returns the part of the budget that a connection with `bytes` may use.
    [[nodiscard]] std::uint64_t usable_bytes(listener from, std::uint64_t bytes) const;
    void evict_for_memory(std::uint64_t bytes, state::time_point now);

    const account_limits m_limits;
    std::array<shard, shard_count> m_shards;
    std::atomic<holder_id> m_next_id{0};
    std::atomic<std::uint64_t> m_held{0}; // sum of all holders' bytes
    std::array<std::atomic<std::size_t>, listener_count> m_connections{};
    std::atomic<state::time_point> m_next_eviction{}; // no earlier search for memory
    std::atomic<std::uint64_t> m_evicted_memory{0};
    std::atomic<std::uint64_t> m_evicted_descriptors{0};
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::listener> {
    using l = savoryrelay::coordination::listener;
    static constexpr std::array rows{
        enum_name<l>{l::callers, "callers"},
        enum_name<l>{l::readiness, "readiness"},
        enum_name<l>{l::metrics, "metrics"},
        enum_name<l>{l::peers, "peers"},
    };
};
