// Computes how often an entry host reads the store and sends digests to its
// peers. At fixed intervals, the load of these exchanges would grow with the
// square of the number of hosts, so larger fleets use longer intervals and accept
// staler data.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <cstddef>

namespace savoryrelay::coordination {

/// Intervals at which one entry host exchanges data with the store and its peers.
struct exchange_intervals {
    state::milliseconds operators_feed_wait{}; ///< longest wait of one call to the operators' feed
    state::milliseconds runners_feed_pause{};  ///< between calls to the runners' feed
    state::milliseconds hosts_read_interval{}; ///< between reads of the list of hosts
    std::size_t rounds_per_remote_digest =
        1; ///< digests go to other zones once in this many rounds
};

/// Returns the intervals for a fleet of `hosts` entry hosts. `leave_limit` is the
/// time within which a host must learn that a runner is leaving.
[[nodiscard]] exchange_intervals exchange_intervals_for(std::size_t hosts,
                                                        state::milliseconds leave_limit);

} // namespace savoryrelay::coordination
