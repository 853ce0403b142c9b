// Defines a hash map that is divided into shards with a lock for each. It is the
// container for state that several threads change.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace savoryrelay::state {

/// A hash map of `ShardCount` shards. Callables passed to its functions run while
/// one shard is locked: they must not block, call a hook or lock another shard.
template <typename Key, typename Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    /// Runs `change(value)` on the value of `key` and returns its result. Creates
    /// the value when it is missing.
    template <typename Change>
    decltype(auto) update(const Key& key, Change&& change) {
        auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        return std::forward<Change>(change)(shard.values[key]);
    }

    /// Runs `change(value)` when `key` is present. Returns whether `key` was present.
    template <typename Change>
    bool update_existing(const Key& key, Change&& change) {
        auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.values.find(key);
        if (found == shard.values.end()) {
            return false;
        }
        std::forward<Change>(change)(found->second);
        return true;
    }

    /// Inserts `value` when `key` is absent. Returns whether it was inserted.
    bool insert(const Key& key, Value value) {
        auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        return shard.values.try_emplace(key, std::move(value)).second;
    }

    /// Returns a copy of the value of `key`, or nothing when `key` is absent.
    [[nodiscard]] std::optional<Value> find(const Key& key) const {
        const auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.values.find(key);
        if (found == shard.values.end()) {
            return std::nullopt;
        }
        return found->second;
    }

    /// Removes `key`. Returns whether it was present.
    bool erase(const Key& key) {
        auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        return shard.values.erase(key) > 0;
    }

    /// Removes `key` and returns its value when `may_remove(value)` is true. The
    /// check and the removal happen under the shard's lock. Returns nothing when
    /// `key` is absent or not removed.
    template <typename Predicate>
    std::optional<Value> extract_if(const Key& key, Predicate may_remove) {
        auto& shard = shard_of(key);
        const std::scoped_lock lock(shard.mutex);
        const auto found = shard.values.find(key);
        if (found == shard.values.end() || !may_remove(std::as_const(found->second))) {
            return std::nullopt;
        }
        std::optional<Value> value(std::move(found->second));
        shard.values.erase(found);
        return value;
    }

    /// Removes each entry for which `is_obsolete(key, value)` is true. Returns
    /// the number of removed entries.
    template <typename Predicate>
    std::size_t erase_if(Predicate is_obsolete) {
        std::size_t removed = 0;
        for (auto& shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            removed += std::erase_if(shard.values, [&](const auto& entry) {
                return is_obsolete(entry.first, entry.second);
            });
        }
        return removed;
    }

    /// Runs `visit(key, value)` on each entry, one shard at a time. An entry that
    /// changes during the iteration is seen either before or after the change.
    template <typename Visit>
    void for_each(Visit visit) const {
        for (const auto& shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            for (const auto& [key, value] : shard.values) {
                visit(key, value);
            }
        }
    }

    /// Runs `change(key, value)` on each entry, one shard at a time.
    template <typename Change>
    void update_each(Change change) {
        for (auto& shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            for (auto& [key, value] : shard.values) {
                change(key, value);
            }
        }
    }

    /// Returns the number of entries, adding up one shard at a time.
    [[nodiscard]] std::size_t size() const {
        std::size_t total = 0;
        for (const auto& shard : m_shards) {
            const std::scoped_lock lock(shard.mutex);
            total += shard.values.size();
        }
        return total;
    }

private:
    // Each shard has its own cache line, which prevents false sharing between the
    // locks of neighbouring shards.
    struct alignas(64) shard_type {
        mutable std::mutex mutex;
        std::unordered_map<Key, Value> values; // guarded by mutex
    };

    [[nodiscard]] std::size_t index_of(const Key& key) const {
        return std::hash<Key>{}(key) % ShardCount;
    }
    shard_type& shard_of(const Key& key) { return m_shards[index_of(key)]; }
    const shard_type& shard_of(const Key& key) const { return m_shards[index_of(key)]; }

    std::array<shard_type, ShardCount> m_shards;
};

} // namespace savoryrelay::state
