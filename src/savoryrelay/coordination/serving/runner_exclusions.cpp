// Implements the table of exclusions.
#include "savoryrelay/coordination/serving/runner_exclusions.h"

#include <algorithm>

namespace savoryrelay::coordination {

bool runner_exclusions::add(exclusion_reason reason, exclusion_source source, state::time_point now,
                            state::time_point until) {
    auto& known = m_by_reason.at(static_cast<std::size_t>(reason));
    if (known && now < known->until) {
        known->until = std::max(known->until, until);
        return false;
    }
    if (until <= now) {
        return false;
    }
    known = runner_exclusion{source, now, until};
    return true;
}

std::optional<runner_exclusion> runner_exclusions::find(exclusion_reason reason,
                                                        state::time_point now) const {
    const auto& known = m_by_reason.at(static_cast<std::size_t>(reason));
    return known && now < known->until ? known : std::nullopt;
}

bool runner_exclusions::any(state::time_point now) const {
    return std::any_of(m_by_reason.begin(), m_by_reason.end(),
                       [&](const auto& known) { return known && now < known->until; });
}

} // namespace savoryrelay::coordination
