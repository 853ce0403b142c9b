// A bounded table of the prompt prefixes that each endpoint probably caches,
// derived from the requests that were routed to it.
#pragma once

#include "savoryrelay/coordination/routing/router.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// Returns the digests of the prefixes of `prompt` that end at a multiple of
/// `block_bytes`, at most `limit` of them, shortest first. Each digest covers
/// the prompt from its start to the end of the block.
[[nodiscard]] std::vector<std::uint64_t>
prefix_digests(std::string_view prompt, std::size_t block_bytes = 512, std::size_t limit = 8);

/// Holds up to `digests_per_slot` prefix digests for each endpoint slot and
/// evicts the least recently used one. Thread-safe.
class prefix_table {
public:
    explicit prefix_table(std::size_t digests_per_slot) : m_digests_per_slot(digests_per_slot) {}

    /// Records that a request with the digests `prefix` was sent to `slot`.
    void learn(std::uint32_t slot, const std::vector<std::uint64_t>& prefix);

    /// Removes all prefixes of `slot`, for example when the endpoint is cold again.
    void forget(std::uint32_t slot);

    /// Returns the slots that hold the longest known prefix.
    [[nodiscard]] prefix_matches find(const std::vector<std::uint64_t>& prefix) const;

    /// Returns true when the table has the prefix with `digest` for `slot`.
    [[nodiscard]] bool holds(std::uint32_t slot, std::uint64_t digest) const;

    /// Returns the number of (digest, slot) pairs, at most
    /// slots * digests_per_slot.
    [[nodiscard]] std::size_t size() const;

private:
    // Digests of one slot in LRU order, the most recently used first.
    struct slot_digests {
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    };
    // Slots that hold one digest, the oldest first. Each lookup copies the list, and
    // the copy of an array allocates no memory.
    struct holder_list {
        std::array<std::uint32_t, prefix_matches::limit> slots{};
        std::size_t count = 0;

        [[nodiscard]] bool contains(std::uint32_t slot) const;
        void add(std::uint32_t slot); ///< replaces the oldest when full
        void remove(std::uint32_t slot);
    };

    void remove_holder(std::uint64_t digest, std::uint32_t slot);

    std::size_t m_digests_per_slot;
    state::sharded_map<std::uint32_t, slot_digests, 256> m_slots;
    state::sharded_map<std::uint64_t, holder_list, 256> m_holders;
};

} // namespace savoryrelay::coordination
