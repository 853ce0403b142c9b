// Best fit by domain, balanced by zone.
#include "savoryrelay/coordination/group/group_planner.h"

#include <algorithm>
#include <tuple>

namespace savoryrelay::coordination {
namespace {

struct domain_stock {
    state::availability_zone_id availability_zone;
    state::fabric_domain_id fabric_domain;
    std::vector<state::host_id> hosts;
};

std::vector<domain_stock> stock_by_domain(const placement_request& request) {
    std::map<std::pair<state::availability_zone_id, state::fabric_domain_id>, domain_stock> found;
    for (const auto& host : request.free_hosts) {
        if (request.drained_zones.contains(host.availability_zone)) {
            continue;
        }
        auto& stock = found[{host.availability_zone, host.fabric_domain}];
        stock.availability_zone = host.availability_zone;
        stock.fabric_domain = host.fabric_domain;
        stock.hosts.push_back(host.id);
    }
    std::vector<domain_stock> stocks;
    for (auto& [key, stock] : found) {
        stocks.push_back(std::move(stock));
    }
    return stocks;
}

} // namespace

std::vector<planned_group> plan_groups(const placement_request& request) {
    auto stocks = stock_by_domain(request);
    auto groups_by_zone = request.groups_by_zone;
    auto sizes = request.group_sizes;
    std::sort(sizes.rbegin(), sizes.rend());

    std::vector<planned_group> planned;
    for (const auto size : sizes) {
        if (size == 0 || size > max_group_hosts) {
            continue;
        }
        // Rank of a domain, lower is better: spares used, groups in its zone,
        // hosts left over. Spares come first, because a group without a spare
        // waits for its lost host.
        const auto rank = [&](const domain_stock& stock) {
            const auto left = static_cast<std::uint32_t>(stock.hosts.size()) - size;
            const auto taken =
                left < request.spares_per_domain ? request.spares_per_domain - left : 0;
            const auto zone = groups_by_zone.find(stock.availability_zone);
            return std::tuple(taken, zone == groups_by_zone.end() ? 0U : zone->second, left);
        };
        domain_stock* best = nullptr;
        for (auto& stock : stocks) {
            if (stock.hosts.size() >= size && (best == nullptr || rank(stock) < rank(*best))) {
                best = &stock;
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
