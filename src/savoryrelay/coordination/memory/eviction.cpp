// Ranks connections by what they hold and how long they have held it.
#include "savoryrelay/coordination/memory/eviction.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

bool may_evict(const holder_state& holder) {
    return !holder.is_evicted && holder.phase != holder_phase::serving;
}

} // namespace

std::vector<std::size_t> choose_for_memory(const std::vector<holder_state>& holders,
                                           std::uint64_t bytes, state::time_point now) {
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (may_evict(holders[i]) && holders[i].bytes > 0 &&
            now - holders[i].since >= eviction_grace) {
            chosen.push_back(i);
        }
    }
    const auto cost = [&](std::size_t i) {
        return static_cast<double>(holders[i].bytes) *
               std::chrono::duration<double>(now - holders[i].since).count();
    };
    std::sort(chosen.begin(), chosen.end(),
              [&](std::size_t a, std::size_t b) { return cost(a) > cost(b); });
    std::uint64_t freed = 0;
    const auto end = std::find_if(chosen.begin(), chosen.end(), [&](std::size_t i) {
        const bool is_enough = freed >= bytes;
        freed += holders[i].bytes;
        return is_enough;
    });
    chosen.erase(end, chosen.end());
    return chosen;
}

std::vector<std::size_t> choose_for_descriptors(const std::vector<holder_state>& holders,
                                                std::size_t count) {
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (may_evict(holders[i]) && holders[i].phase != holder_phase::sending) {
            chosen.push_back(i);
        }
    }
    count = std::min(count, chosen.size());
    std::partial_sort(
        chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(count), chosen.end(),
        [&](std::size_t a, std::size_t b) { return holders[a].since < holders[b].since; });
    chosen.resize(count);
    return chosen;
}

} // namespace savoryrelay::coordination
