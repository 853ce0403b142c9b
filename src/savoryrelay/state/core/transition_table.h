// Defines tables of the allowed transitions of state machines. They are data, so
// that tests can check every pair of states.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace savoryrelay::state {

/// One allowed transition of a state machine.
template <typename Enum>
struct transition {
    Enum from;
    Enum to;
};

/// Table of the allowed transitions of `Enum`. Specialise with `static constexpr std::array
/// rows{transition<E>{...}, ...}`.
template <typename Enum>
struct transition_table;

/// Returns true when the table of `Enum` allows the transition from `from` to `to`.
template <typename Enum>
[[nodiscard]] constexpr bool is_allowed(Enum from, Enum to) {
    return std::any_of(
        transition_table<Enum>::rows.begin(), transition_table<Enum>::rows.end(),
        [&](const transition<Enum>& row) { return row.from == from && row.to == to; });
}

} // namespace savoryrelay::state
