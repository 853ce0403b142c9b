// The lease of a deployment: its row in the platform's table and its phase at a member.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/core/transition_table.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace savoryrelay::state {

/// The value of the row `lease/<deployment>`. The row is never deleted, because its fencing number
/// must never decrease.
struct lease_row {
    member_id holder;
    std::uint64_t incarnation = 0;    ///< incarnation of `holder`
    std::uint64_t fencing_number = 0; ///< increases with each acquisition
    milliseconds duration{0};         ///< validity after the last renewal was sent
    bool released = false;            ///< the holder released it with no order in flight

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// Numbers that one era of the store has for fencing numbers. A restored store may return a row
/// with a lower fencing number than orders already carry, so those of an era start above all
/// of the eras before it.
inline constexpr std::uint64_t fencing_numbers_per_era = 1'000'000'000;

/// Returns the fencing number of the next acquisition of `row` in the store's era `era`.
[[nodiscard]] constexpr std::uint64_t next_fencing_number(const lease_row& row, std::uint64_t era) {
    return std::max(row.fencing_number, era * fencing_numbers_per_era) + 1;
}

/// Returns whether `row` was acquired in the store's era `era`, the latest one. A restore leaves
/// rows of earlier eras, whose holders may have been replaced by one that the store has lost.
[[nodiscard]] constexpr bool is_of_era(const lease_row& row, std::uint64_t era) {
    return row.fencing_number > era * fencing_numbers_per_era;
}

/// Converts a row's value to and from text. The coordination layer uses these hooks, because the
/// codec belongs to another layer.
struct lease_codec {
    std::function<std::string(const lease_row&)> encode;
    /// Fails with `message_damaged`.
    std::function<result<lease_row>(const std::string& text)> decode;
};

/// Returns the key of a deployment's lease row.
[[nodiscard]] inline std::string lease_key(const deployment_id& deployment) {
    return "lease/" + deployment.value();
}

/// Returns the key of the row that exists once a lease of `deployment` has been acquired in a later
/// era than `era`. Each write of an era requires that its row is absent, which no version that was
/// given out again can fulfil by accident.
[[nodiscard]] inline std::string closed_era_key(const deployment_id& deployment,
                                                std::uint64_t era) {
    return "closed_era/" + std::to_string(era) + "/" + deployment.value();
}

/// State of a deployment's lease at one member.
enum class lease_phase {
    observing, ///< this member does not hold the row
    acquiring, ///< its acquisition was sent; the result is not known
    waiting,   ///< it holds the row; orders of the earlier holder may still arrive
    holding,   ///< it may send orders
    lapsed,    ///< the lease expired by this member's clock; the row may still name this member
    releasing, ///< its release was sent; the result is not known
};

template <>
struct enum_table<lease_phase> {
    static constexpr std::array rows{
        enum_name<lease_phase>{lease_phase::observing, "observing"},
        enum_name<lease_phase>{lease_phase::acquiring, "acquiring"},
        enum_name<lease_phase>{lease_phase::waiting, "waiting"},
        enum_name<lease_phase>{lease_phase::holding, "holding"},
        enum_name<lease_phase>{lease_phase::lapsed, "lapsed"},
        enum_name<lease_phase>{lease_phase::releasing, "releasing"},
    };
};

/// A holder may renew an expired lease, because the renewal is conditional on the row's version and
/// a successor would have changed it.
template <>
struct transition_table<lease_phase> {
    using p = lease_phase;
    static constexpr std::array rows{
        transition<p>{p::observing, p::acquiring}, transition<p>{p::acquiring, p::observing},
        transition<p>{p::acquiring, p::waiting},   transition<p>{p::acquiring, p::holding},
        transition<p>{p::waiting, p::holding},     transition<p>{p::waiting, p::lapsed},
        transition<p>{p::waiting, p::releasing},   transition<p>{p::waiting, p::observing},
        transition<p>{p::holding, p::lapsed},      transition<p>{p::holding, p::releasing},
        transition<p>{p::holding, p::observing},   transition<p>{p::lapsed, p::waiting},
        transition<p>{p::lapsed, p::holding},      transition<p>{p::lapsed, p::releasing},
        transition<p>{p::lapsed, p::observing},    transition<p>{p::releasing, p::observing},
        transition<p>{p::releasing, p::lapsed},
    };
};

} // namespace savoryrelay::state
