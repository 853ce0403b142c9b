// The order in which calls are admitted while capacity is short.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <array>
#include <cstddef>

namespace savoryrelay::state {

/// How urgent a call is. Earlier values go first.
enum class call_urgency {
    urgent,  ///< the priority of the customer or the route is the highest
    normal,  ///< the next priority
    relaxed, ///< any lower priority
    late,    ///< the call's target has passed, mostly because it was refused before
};

template <>
struct enum_table<call_urgency> {
    using u = call_urgency;
    static constexpr std::array rows{
        enum_name<u>{u::urgent, "urgent"},
        enum_name<u>{u::normal, "normal"},
        enum_name<u>{u::relaxed, "relaxed"},
        enum_name<u>{u::late, "late"},
    };
};

/// One amount for each urgency, in the order of the values.
using urgency_amounts = std::array<double, enum_table<call_urgency>::rows.size()>;

/// Returns the amount for `urgency`.
inline double& amount_of(urgency_amounts& amounts, call_urgency urgency) {
    return amounts.at(static_cast<std::size_t>(urgency));
}
inline double amount_of(const urgency_amounts& amounts, call_urgency urgency) {
    return amounts.at(static_cast<std::size_t>(urgency));
}

} // namespace savoryrelay::state
