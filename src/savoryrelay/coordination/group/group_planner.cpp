// Best-fit placement by fabric domain, balanced over availability zones.
#include "savoryrelay/coordination/group/group_planner.h"

#include <algorithm>
#include <tuple>

namespace savoryrelay::coordination {
namespace {

struct domain_hosts {
    state::availability_zone_id availability_zone;
    state::fabric_domain_id fabric_domain;
    std::vector<state::host_id> hosts;
};

std::vector<domain_hosts> free_hosts_by_domain(const placement_request& request) {
    std::map<std::pair<state::availability_zone_id, state::fabric_domain_id>, domain_hosts>
        by_domain;
    for (const auto& host : request.free_hosts) {
        if (request.drained_zones.contains(host.availability_zone)) {
            continue;
        }
        auto& domain = by_domain[{host.availability_zone, host.fabric_domain}];
        domain.availability_zone = host.availability_zone;
        domain.fabric_domain = host.fabric_domain;
        domain.hosts.push_back(host.id);
    }
    std::vector<domain_hosts> domains;
    for (auto& [key, domain] : by_domain) {
        domains.push_back(std::move(domain));
    }
    return domains;
}

} // namespace

std::vector<planned_group> plan_groups(const placement_request& request) {
    auto domains = free_hosts_by_domain(request);
    auto groups_by_zone = request.groups_by_zone;
    auto sizes = request.group_sizes;
    std::sort(sizes.rbegin(), sizes.rend());

    std::vector<planned_group> planned;
    for (const auto size : sizes) {
        if (size == 0 || size > max_group_hosts) {
            continue;
        }
        // Rank of a domain, lower is better: missing spares, then groups in its zone,
        // then hosts left over. Spares come first, because a group without a spare
        // has to wait for its lost host.
        const auto rank = [&](const domain_hosts& domain) {
            const auto left_over = static_cast<std::uint32_t>(domain.hosts.size()) - size;
            const auto missing_spares =
                left_over < request.spares_per_domain ? request.spares_per_domain - left_over : 0;
            const auto zone = groups_by_zone.find(domain.availability_zone);
            return std::tuple(missing_spares, zone == groups_by_zone.end() ? 0U : zone->second,
                              left_over);
        };
        domain_hosts* best = nullptr;
        for (auto& domain : domains) {
            if (domain.hosts.size() >= size && (best == nullptr || rank(domain) < rank(*best))) {
                best = &domain;
            }
        }
        if (best == nullptr) {
            continue;
        }
        const auto end = best->hosts.begin() + size;
        planned.push_back({best->availability_zone, best->fabric_domain,
                           std::vector<state::host_id>(best->hosts.begin(), end)});
        best->hosts.erase(best->hosts.begin(), end);
        ++groups_by_zone[best->availability_zone];
    }
    return planned;
}

} // namespace savoryrelay::coordination
