// Allowed transitions of a state machine, kept as data so that tests can walk
// every pair of states.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace savoryrelay::state {

/// One allowed step of a state machine.
template <typename Enum>
struct transition {
    Enum from;
    Enum to;
};

/// Specialise with `static constexpr std::array rows{transition<E>{...}, ...}`.
template <typename Enum>
struct transition_table;

/// True when the table of `Enum` allows the step from `from` to `to`.
template <typename Enum>
[[nodiscard]] constexpr bool is_allowed(Enum from, Enum to) {
    return std::any_of(
        transition_table<Enum>::rows.begin(), transition_table<Enum>::rows.end(),
        [&](const transition<Enum>& row) { return row.from == from && row.to == to; });
}

} // namespace savoryrelay::state
