// Chooses the hubs of the exchange between entry hosts. Members report to a hub of their
// zone, hubs exchange sums with each other, and each hub passes the whole to its members.
// So the messages of a host don't grow with the number of hosts.
#pragma once

#include "savoryrelay/state/serving/peer_digest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// In fleets of up to this many hosts every host is a hub, because sums save no messages
/// and cost a round.
inline constexpr std::size_t max_mesh_hosts = 20;
/// Hubs of each zone in larger fleets. The second one is in place when the first fails.
inline constexpr std::size_t hubs_per_zone = 2;
/// A host for which this many hubs of its zone are silent is taken to be isolated and
/// acts as a hub itself.
inline constexpr std::size_t max_silent_hubs = 6;
/// Hosts with less than this share of a core become hubs only where no other host can.
inline constexpr double min_hub_processor_share = 0.2;

/// A host that may become a hub.
struct hub_candidate {
    state::host_entry entry;
    std::uint64_t name_hash = 0;
    bool is_silent = false;      ///< it does not answer this host
    bool has_lost_store = false; ///< the store refuses its calls or does not answer
};

/// The roles of the hosts as one host sees them.
struct exchange_roles {
    bool is_hub = false; ///< the host itself is a hub
    /// The host follows the tables of the store and passes the changes on: the first hub of
    /// each zone that has not lost the store, or the first one if all have.
    bool is_store_reader = false;
    std::optional<state::member_address> reports_to; ///< the hub of a member
    std::vector<state::member_address> hubs;         ///< the other hubs, of all zones
};

/// Returns the roles for the host `own` that knows the hosts `others`. All hosts with the
/// same knowledge choose the same hubs. Hosts whose zone is unknown become hubs only in a
/// small fleet.
[[nodiscard]] exchange_roles choose_roles(const hub_candidate& own,
                                          const std::vector<hub_candidate>& others);

} // namespace savoryrelay::coordination
