// How often an entry host reads the store and tells its peers, by the number
// of hosts: both grow with their square, and only nearness in time needs them.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <cstddef>

namespace savoryrelay::coordination {

/// Intervals of one host among `hosts`.
struct exchange_pace {
    state::milliseconds operators_wait{};  ///< of one call to the operators' feed
    state::milliseconds runners_pause{};   ///< between calls to the feed of runners
    state::milliseconds hosts_read{};      ///< between reads of the list of hosts
    std::size_t rounds_of_far_digests = 1; ///< each how many rounds another zone is told
};

/// `leave_limit`: how soon a host must know that a runner is leaving.
[[nodiscard]] exchange_pace pace_of(std::size_t hosts, state::milliseconds leave_limit);

} // namespace savoryrelay::coordination
