// Implements the table of prompt prefixes by endpoint.
#include "savoryrelay/coordination/routing/prefix_table.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <string>

namespace savoryrelay::coordination {

std::vector<std::uint64_t> prefix_digests(std::string_view prompt, std::size_t block_bytes,
                                          std::size_t limit) {
    std::vector<std::uint64_t> digests;
    std::string chained_block;
    for (std::size_t at = 0; at + block_bytes <= prompt.size() && digests.size() < limit;
         at += block_bytes) {
        chained_block = digests.empty() ? std::string() : std::to_string(digests.back());
        chained_block.append(prompt.substr(at, block_bytes));
        digests.push_back(state::stable_hash(chained_block));
    }
    return digests;
}

bool prefix_table::holder_list::contains(std::uint32_t slot) const {
    const auto end = slots.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(slots.begin(), end, slot) != end;
}

void prefix_table::holder_list::add(std::uint32_t slot) {
    if (contains(slot)) {
        return;
    }
    if (count == slots.size()) {
        std::rotate(slots.begin(), slots.begin() + 1, slots.end());
        --count;
    }
    slots.at(count++) = slot;
}

void prefix_table::holder_list::remove(std::uint32_t slot) {
    const auto end = slots.begin() + static_cast<std::ptrdiff_t>(count);
    count = static_cast<std::size_t>(std::remove(slots.begin(), end, slot) - slots.begin());
}

void prefix_table::learn(std::uint32_t slot, const std::vector<std::uint64_t>& prefix) {
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;

    // Updates the slot's own list first and the holder lists after it, because
    // no shard's lock may be held while another one is taken.
    m_slots.update(slot, [&](slot_digests& digests) {
        for (const auto digest : prefix) {
            const auto known = digests.positions.find(digest);
            if (known != digests.positions.end()) {
                digests.order.splice(digests.order.begin(), digests.order, known->second);
                continue;
            }
            digests.order.push_front(digest);
            digests.positions[digest] = digests.order.begin();
            added.push_back(digest);
        }
        while (digests.order.size() > m_digests_per_slot) {
            evicted.push_back(digests.order.back());
            digests.positions.erase(digests.order.back());
            digests.order.pop_back();
        }
    });

    for (const auto digest : added) {
        m_holders.update(digest, [&](holder_list& holders) { holders.add(slot); });
    }
    for (const auto digest : evicted) {
        remove_holder(digest, slot);
    }
}

void prefix_table::forget(std::uint32_t slot) {
    std::list<std::uint64_t> removed;
    m_slots.update_existing(slot, [&](slot_digests& digests) {
        removed.swap(digests.order);
        digests.positions.clear();
    });
    for (const auto digest : removed) {
        remove_holder(digest, slot);
    }
}

prefix_matches prefix_table::find(const std::vector<std::uint64_t>& prefix) const {
    prefix_matches matches;
    for (std::size_t length = prefix.size(); length > 0 && matches.count == 0; --length) {
        const auto holders = m_holders.find(prefix[length - 1]);
        if (!holders) {
            continue;
        }
        const double fraction = static_cast<double>(length) / static_cast<double>(prefix.size());
        for (std::size_t i = 0; i < holders->count; ++i) {
            matches.rows.at(matches.count++) = {holders->slots.at(i), fraction};
        }
    }
    return matches;
}

bool prefix_table::holds(std::uint32_t slot, std::uint64_t digest) const {
    const auto holders = m_holders.find(digest);
    return holders && holders->contains(slot);
}

std::size_t prefix_table::size() const {
    std::size_t total = 0;
    m_slots.for_each(
        [&](std::uint32_t, const slot_digests& digests) { total += digests.order.size(); });
    return total;
}

void prefix_table::remove_holder(std::uint64_t digest, std::uint32_t slot) {
    m_holders.update_existing(digest, [&](holder_list& holders) { holders.remove(slot); });
    m_holders.extract_if(digest, [](const holder_list& holders) { return holders.count == 0; });
}

} // namespace savoryrelay::coordination
