// Plans how many groups of each model each fabric domain should hold.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// The number of usable runners in a domain, whether they are in groups or not.
struct domain_size {
    state::fabric_domain_id domain;
    std::size_t runners = 0;
};

/// The models of the groups planned for each domain, one element for each group, in
/// the order of planning.
using domain_layout = std::map<state::fabric_domain_id, std::vector<std::string>>;

/// Runners that each domain keeps free if it can, so that a group that loses a
/// member is complete again within seconds instead of after a load of weights.
inline constexpr std::size_t spares_per_domain = 1;

/// Plans the domains in the given order. Each group goes to the model that is
/// furthest below its share of the runners. A domain that is too small for a group
/// and its spares holds a group without spares.
[[nodiscard]] domain_layout plan_layout(const std::vector<state::model_rule>& models,
                                        const std::vector<domain_size>& domains);

/// Returns the number of groups of each model in the layout.
[[nodiscard]] std::map<std::string, std::size_t> count_groups(const domain_layout& layout);

} // namespace savoryrelay::coordination
