// Plans how many groups of each model the fabric domains should hold.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Runners of a domain that can be used, in groups or not.
struct domain_size {
    state::fabric_domain_id domain;
    std::size_t runners = 0;
};

/// The groups planned for one domain, by model, largest first.
using domain_layout = std::map<state::fabric_domain_id, std::vector<std::string>>;

/// Runners that each domain keeps free if it can, so that a group that loses
/// one is whole again within seconds instead of the time of a load.
inline constexpr std::size_t spares_per_domain = 1;

/// Plans the domains in the given order. Each group goes to the model that
/// lacks most of its share of the runners; a domain that is too small for a
/// group and its spares holds a group without spares.
[[nodiscard]] domain_layout plan_layout(const std::vector<state::model_rule>& models,
                                        const std::vector<domain_size>& domains);

/// Groups of each model in the layout.
[[nodiscard]] std::map<std::string, std::size_t> count_groups(const domain_layout& layout);

} // namespace savoryrelay::coordination
