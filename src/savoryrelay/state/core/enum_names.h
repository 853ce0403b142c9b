// Tables that map enumerators to their names. Each `enum class` that is printed,
// logged or sent specialises `enum_table` next to its definition.
#pragma once

#include <array>
#include <cassert>
#include <optional>
#include <string_view>

namespace savoryrelay::state {

/// One row of a table of names.
template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Table of the names of `Enum`. Specialise with `static constexpr std::array
/// rows{enum_name<E>{...}, ...}`.
template <typename Enum>
struct enum_table;

/// Returns the name of `value`, which must be in the table.
template <typename Enum>
[[nodiscard]] constexpr std::string_view to_name(Enum value) {
    for (const auto& row : enum_table<Enum>::rows) {
        if (row.value == value) {
            return row.name;
        }
    }
    assert(false && "value is missing from its table of names");
    return {};
}

/// Returns the value with the given name, or nothing when the table has no such
/// name.
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum> from_name(std::string_view name) {
    for (const auto& row : enum_table<Enum>::rows) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace savoryrelay::state
