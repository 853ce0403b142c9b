// Ranks the heads for a host by rendezvous hashing and draws from the first.
#include "savoryrelay/coordination/serving/group_sample.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <tuple>

namespace savoryrelay::coordination {
namespace {

// Half of a host's groups are in other zones, so that it can leave a loaded or lost zone
// without new connections.
constexpr std::size_t own_zone_groups = groups_per_host / 2;

} // namespace

std::vector<const runner_view*> sample_heads(const std::vector<const runner_view*>& heads,
                                             const std::string& own_host,
                                             const state::availability_zone_id& own_zone,
                                             std::size_t host_count, const random_hook& random) {
    if (host_count <= max_unsampled_hosts) {
        return heads;
    }
    struct ranked_head {
        const runner_view* head = nullptr;
        std::uint64_t weight = 0;
    };
    // The ranking is the host's own, so a hash of this process will do.
    const std::hash<std::string> hash_of;
    const auto host = hash_of(own_host);
    std::vector<ranked_head> own;
    std::vector<ranked_head> others;
    for (const auto* head : heads) {
        auto& zone = head->record.availability_zone == own_zone ? own : others;
        zone.push_back({head, state::rendezvous_weight(host, hash_of(head->record.id.value()))});
    }
    const auto keep = [](std::vector<ranked_head>& ranked, std::size_t count) {
        const auto kept = std::min(count, ranked.size());
        std::partial_sort(
            ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(),
            [](const auto& left, const auto& right) { return left.weight > right.weight; });
        ranked.resize(kept);
    };
    keep(own, own_zone_groups);
    keep(others, groups_per_host - own.size());
    own.insert(own.end(), others.begin(), others.end());

    // A partial shuffle draws without repetition.
    std::vector<const runner_view*> drawn;
    for (std::size_t i = 0; i < std::min(groups_per_call, own.size()); ++i) {
        std::swap(own[i], own[i + random() % (own.size() - i)]);
        drawn.push_back(own[i].head);
    }
    return drawn;
}

} // namespace savoryrelay::coordination
