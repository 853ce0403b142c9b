// Places groups of mixed sizes into fabric domains of uneven sizes. Compares the
// accelerators left stranded by best fit and by first fit in the order of the
// requests, and measures the planner's time by number of hosts with its fitted slope.
#include "savoryrelay/coordination/group/group_planner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

using namespace savoryrelay;

namespace {

constexpr std::uint64_t seed = 20'261'204;
constexpr std::uint32_t accelerators_per_host = 8;
constexpr int rounds = 50;

/// Returns a request with domains of 8 to 40 hosts, assigned to 8 zones in turn, and
/// with groups that together need no more hosts than there are.
coordination::placement_request make_request(std::uint32_t hosts, std::mt19937_64& random) {
    coordination::placement_request request;
    std::uint32_t domain = 0;
    std::uint32_t created = 0;
    while (created < hosts) {
        const auto size = std::min(hosts - created, static_cast<std::uint32_t>(8 + random() % 33));
        for (std::uint32_t i = 0; i < size; ++i) {
            request.free_hosts.push_back({state::host_id("h" + std::to_string(created + i)),
                                          state::availability_zone_id(std::to_string(domain % 8)),
                                          state::fabric_domain_id(std::to_string(domain))});
        }
        created += size;
        ++domain;
    }
    constexpr std::array<std::uint32_t, 3> sizes{4, 8, 16};
    for (std::uint32_t requested = 0;;) {
        const auto size = sizes[random() % sizes.size()];
        if (requested + size > hosts) {
            return request;
        }
        request.group_sizes.push_back(size);
        requested += size;
    }
}

/// Returns the number of hosts that first fit places in the order of the requests.
std::uint32_t first_fit(const coordination::placement_request& request) {
    std::vector<std::pair<state::fabric_domain_id, std::uint32_t>> free_by_domain;
    for (const auto& host : request.free_hosts) {
        if (free_by_domain.empty() || free_by_domain.back().first != host.fabric_domain) {
            free_by_domain.emplace_back(host.fabric_domain, 0);
        }
        ++free_by_domain.back().second;
    }
    std::uint32_t placed = 0;
    for (const auto size : request.group_sizes) {
        const auto found = std::find_if(free_by_domain.begin(), free_by_domain.end(),
                                        [&](const auto& domain) { return domain.second >= size; });
        if (found != free_by_domain.end()) {
            found->second -= size;
            placed += size;
        }
    }
    return placed;
}

} // namespace

int main() {
    std::printf("hosts,rounds,seed,planner_us,stranded_planner,stranded_first_fit,ratio\n");
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    constexpr std::array<std::uint32_t, 4> scales{75, 150, 300, 600};
    for (const auto hosts : scales) {
        std::mt19937_64 random(seed);
        double microseconds = 0.0;
        std::uint64_t stranded_by_planner = 0;
        std::uint64_t stranded_by_first_fit = 0;
        for (int round = 0; round < rounds; ++round) {
            const auto request = make_request(hosts, random);
            const auto began = std::chrono::steady_clock::now();
            const auto planned = coordination::plan_groups(request);
            const auto took = std::chrono::steady_clock::now() - began;
            microseconds += std::chrono::duration<double, std::micro>(took).count();
            std::uint32_t placed = 0;
            for (const auto& group : planned) {
                placed += static_cast<std::uint32_t>(group.hosts.size());
            }
            stranded_by_planner += (hosts - placed) * accelerators_per_host;
            stranded_by_first_fit += (hosts - first_fit(request)) * accelerators_per_host;
        }
        std::printf("%u,%d,%llu,%.1f,%.1f,%.1f,%.2f\n", hosts, rounds,
                    static_cast<unsigned long long>(seed), microseconds / rounds,
                    static_cast<double>(stranded_by_planner) / rounds,
                    static_cast<double>(stranded_by_first_fit) / rounds,
                    static_cast<double>(stranded_by_planner) /
                        static_cast<double>(stranded_by_first_fit));
        const double x = std::log(hosts);
        const double y = std::log(microseconds / rounds);
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
    }
    const double n = scales.size();
    std::printf("fitted slope of log time by log hosts: %.2f\n",
                (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x));
    return 0;
}
