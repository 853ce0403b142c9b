// Position in the history of the platform's table store.
#pragma once

#include <compare>
#include <cstdint>

namespace savoryrelay::state {

/// A version of the store. A store that was restored from a copy gives numbers out again, so
/// numbers are comparable within one era only. Any version of a later era is newer.
struct store_version {
    constexpr store_version() = default;
    constexpr store_version(std::uint64_t store_era, std::uint64_t transaction_number)
        : era(store_era), number(transaction_number) {}

    std::uint64_t era = 0; ///< increases with each restore, as the store states it; 0: none stated
    std::uint64_t number = 0; ///< increases with each transaction of an era; 0: before the first

    friend constexpr bool operator==(const store_version&, const store_version&) = default;
    friend constexpr std::strong_ordering operator<=>(const store_version& left,
                                                      const store_version& right) {
        return left.era != right.era ? left.era <=> right.era : left.number <=> right.number;
    }
};

} // namespace savoryrelay::state
