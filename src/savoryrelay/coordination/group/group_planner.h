// Chooses the hosts of new groups.
#pragma once

#include "savoryrelay/state/core/identifier.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace savoryrelay::coordination {

/// The maximum number of hosts in a group.
constexpr std::uint32_t max_group_hosts = 16;

/// A live host that belongs to no group.
struct free_host {
    state::host_id id;
    state::availability_zone_id availability_zone;
    state::fabric_domain_id fabric_domain;
};

/// The groups to place and the hosts to place them on.
struct placement_request {
    std::vector<free_host> free_hosts;
    std::map<state::availability_zone_id, std::uint32_t> groups_by_zone; ///< existing groups
    std::set<state::availability_zone_id> drained_zones;                 ///< receive no new group
    std::vector<std::uint32_t> group_sizes; ///< hosts of each new group, 1 to 16
    std::uint32_t spares_per_domain = 0;    ///< hosts to leave free in each domain if possible
};

/// A group to form; all its hosts are in one fabric domain.
struct planned_group {
    state::availability_zone_id availability_zone;
    state::fabric_domain_id fabric_domain;
    std::vector<state::host_id> hosts;
};

/// Places the groups, largest first. Prefers a domain that keeps its spares, then the
/// zone with the fewest groups, then the domain with the fewest free hosts left over.
/// Omits groups that fit nowhere.
[[nodiscard]] std::vector<planned_group> plan_groups(const placement_request& request);

using plan_groups_hook = std::function<std::vector<planned_group>(const placement_request&)>;

} // namespace savoryrelay::coordination
