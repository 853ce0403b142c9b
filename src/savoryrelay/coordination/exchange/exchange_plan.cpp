// Ranks the hosts of each zone by their processor and a hash of their names.
#include "savoryrelay/coordination/exchange/exchange_plan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace savoryrelay::coordination {
namespace {

// Hosts come first that have enough processor time for a hub.
auto rank_of(const hub_candidate& host) {
    return std::tuple(host.entry.processor_share < min_hub_processor_share, host.name_hash);
}

} // namespace

exchange_roles choose_roles(const hub_candidate& own, const std::vector<hub_candidate>& others) {
    exchange_roles roles;
    if (others.size() < max_mesh_hosts) {
        roles.is_hub = true;
        roles.is_store_reader = true;
        for (const auto& other : others) {
            roles.hubs.push_back(other.entry.address);
        }
        return roles;
    }

    std::map<state::availability_zone_id, std::vector<const hub_candidate*>> zones;
    zones[own.entry.availability_zone].push_back(&own);
    for (const auto& other : others) {
        if (!other.entry.availability_zone.empty()) {
            zones[other.entry.availability_zone].push_back(&other);
        }
    }
    for (auto& [zone, hosts] : zones) {
        std::sort(hosts.begin(), hosts.end(), [](const auto* left, const auto* right) {
            return rank_of(*left) < rank_of(*right);
        });
        std::vector<const hub_candidate*> hubs;
        std::size_t silent = 0;
        for (const auto* host : hosts) {
            if (host->is_silent) {
                ++silent;
            } else if (hubs.size() < hubs_per_zone) {
                hubs.push_back(host);
            }
        }
        if (zone == own.entry.availability_zone) {
            roles.is_hub = std::find(hubs.begin(), hubs.end(), &own) != hubs.end() ||
                           silent >= max_silent_hubs;
            const auto reader = std::find_if(hubs.begin(), hubs.end(),
                                             [](const auto* hub) { return !hub->has_lost_store; });
            roles.is_store_reader = (reader == hubs.end() ? hubs.front() : *reader) == &own;
            if (!roles.is_hub) {
                roles.reports_to = hubs[own.name_hash % hubs.size()]->entry.address;
            }
        }
        for (const auto* hub : hubs) {
            if (hub != &own) {
                roles.hubs.push_back(hub->entry.address);
            }
        }
    }
    return roles;
}

} // namespace savoryrelay::coordination
