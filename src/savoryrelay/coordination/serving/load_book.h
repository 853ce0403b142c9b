// Calls in flight at each endpoint: this host's own, and those that other
// hosts have told of.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// Thread-safe.
class load_book {
public:
    /// Loads of a host that has not been heard of for this long do not count.
    static constexpr state::milliseconds peer_load_age{1'000};

    /// A call was sent to `endpoint` and waits for its first event.
    void begin(const state::endpoint_id& endpoint, double prompt_tokens);
    /// Its first event came.
    void note_first_event(const state::endpoint_id& endpoint, double prompt_tokens);
    /// A call ended; `was_writing` tells whether its first event had come.
    void end(const state::endpoint_id& endpoint, double prompt_tokens, bool was_writing);

    /// Replaces what is known of the host `peer`.
    void apply_peer(const std::string& peer, std::vector<state::endpoint_load_entry> loads,
                    state::time_point now);

    /// This host's own loads.
    [[nodiscard]] std::vector<state::endpoint_load_entry> own() const;
    /// The loads of all hosts.
    [[nodiscard]] std::unordered_map<state::endpoint_id, state::endpoint_load>
    all(state::time_point now) const;

private:
    struct peer_loads {
        std::vector<state::endpoint_load_entry> loads;
        state::time_point at{};
    };

    state::sharded_map<state::endpoint_id, state::endpoint_load> m_own;
    state::sharded_map<std::string, peer_loads> m_peers;
};

} // namespace savoryrelay::coordination
