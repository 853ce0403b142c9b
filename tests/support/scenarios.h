// Generates random scenarios for model-based properties.
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryrelay::tests {

/// The steps of a scenario. Each number chooses one step.
using scenario = std::vector<std::uint32_t>;

/// Generates 20 scenarios of fewer than `max_steps` steps each. rapidcheck runs
/// 100 cases by default, but a fault in the release of leases appeared only after
/// 445 scenarios, so each case tries several.
inline std::vector<scenario> any_scenarios(std::size_t max_steps) {
    constexpr std::size_t scenarios_per_case = 20;
    const auto steps = rc::gen::inRange<std::uint32_t>(0, 0x7FFFFFFF);
    const auto length = *rc::gen::inRange<std::size_t>(10, max_steps);
    return *rc::gen::container<std::vector<scenario>>(scenarios_per_case,
                                                      rc::gen::container<scenario>(length, steps));
}

} // namespace savoryrelay::tests
