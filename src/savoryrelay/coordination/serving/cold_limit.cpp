// Ranks the hosts for an endpoint by rendezvous hashing.
#include "savoryrelay/coordination/serving/cold_limit.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

// A host may miss the few hosts that have joined since it read the list.
constexpr double min_listed_share = 0.9;

} // namespace

std::size_t host_rank(const std::vector<std::uint64_t>& hosts, std::uint64_t endpoint) {
    const auto own_weight = state::rendezvous_weight(hosts.front(), endpoint);
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [&](std::uint64_t host) {
            return state::rendezvous_weight(host, endpoint) > own_weight;
        }));
}

std::size_t cold_call_share(const std::vector<std::uint64_t>& hosts, std::uint64_t endpoint,
                            double limit) {
    const auto calls = static_cast<std::size_t>(std::max(0.0, limit));
    const auto owners = std::min(calls, hosts.size());
    if (owners == 0) {
        return 0;
    }
    return host_rank(hosts, endpoint) < owners ? calls / owners : 0;
}

bool is_host_list_complete(std::size_t listed, std::size_t counted) {
    return static_cast<double>(listed) >= min_listed_share * static_cast<double>(counted);
}

} // namespace savoryrelay::coordination
