// Decides which observations the controller sends in a round: those that changed, at once
// and several times because datagrams get lost, and each of the others from time to time.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <map>
#include <vector>

namespace savoryrelay::coordination {

/// Remembers what was sent. Not thread-safe.
class observation_schedule {
public:
    /// A changed observation is sent in each round for this long.
    static constexpr state::milliseconds repeated_for{300};
    /// An unchanged observation is sent again after this time. Shorter than the time for
    /// which receivers prefer it to the runner's entry.
    static constexpr state::milliseconds refresh_interval{1'000};

    /// Returns the observations among `all` that are due, and counts them as sent.
    [[nodiscard]] std::vector<state::runner_observation>
    take_due(std::vector<state::runner_observation> all, state::time_point now);
    /// Forgets what was sent, so that the next round sends everything.
    void reset() { m_sent.clear(); }

private:
    struct sent_observation {
        state::runner_observation observation;
        state::time_point changed_at{};
        state::time_point sent_at{};
    };
    std::map<state::endpoint_id, sent_observation> m_sent;
};

} // namespace savoryrelay::coordination
