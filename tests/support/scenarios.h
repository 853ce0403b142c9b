// Random scenarios for model-based properties: each number chooses one step.
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryrelay::tests {

using scenario = std::vector<std::uint32_t>;

/// Several scenarios of up to `max_steps` steps. rapidcheck runs 100 cases by
/// default; a fault in the release of leases took 445 scenarios to appear, so
/// that each case has to try more than one.
inline std::vector<scenario> any_scenarios(std::size_t max_steps) {
    constexpr std::size_t scenarios_per_case = 20;
    const auto steps = rc::gen::inRange<std::uint32_t>(0, 0x7FFFFFFF);
    const auto length = *rc::gen::inRange<std::size_t>(10, max_steps);
    return *rc::gen::container<std::vector<scenario>>(scenarios_per_case,
                                                      rc::gen::container<scenario>(length, steps));
}

} // namespace savoryrelay::tests
