// Counts the calls in flight at each endpoint, and the rates of calls at endpoints that have
// limited them: this host's own calls, and those that other hosts report in their digests.
#pragma once

#include "savoryrelay/coordination/serving/decayed_rate.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// Loads of all endpoints by reporting host. Thread-safe.
class load_tracker {
public:
    /// Loads of a host expire when it has sent no digest for this long.
    static constexpr state::milliseconds peer_load_age{1'000};

    /// Records that a call was sent to `endpoint` and waits for its first event.
    void begin_call(const state::endpoint_id& endpoint, double prompt_tokens);
    /// Records that the first event of a call was received.
    void note_first_event(const state::endpoint_id& endpoint, double prompt_tokens);
    /// Records the end of a call. `was_writing` tells whether its first event was
    /// received before.
    void end_call(const state::endpoint_id& endpoint, double prompt_tokens, bool was_writing);

    /// Records that this host wants to send a call to `endpoint`, which has named `limit_per_s`.
    void note_wanted_call(const state::endpoint_id& endpoint, double limit_per_s,
                          state::time_point now);
    /// Records that this host sends a call to an endpoint that has named a limit.
    void note_sent_call(const state::endpoint_id& endpoint, state::time_point now);

    /// Replaces the loads from one part of a peer's digest. `source` names the host and
    /// the part. Loads of the scope `fleet` include those that this host reported last,
    /// which are taken off; they replace the loads of all other sources, and the other
    /// way round, because a host counts each call once.
    void apply_peer(const std::string& source, state::digest_scope scope,
                    std::vector<state::endpoint_load_entry> loads, state::time_point now);

    /// Returns this host's own loads.
    [[nodiscard]] std::vector<state::endpoint_load_entry> own(state::time_point now) const;
    /// Returns the load of all hosts at `endpoint`.
    [[nodiscard]] state::endpoint_load load_of(const state::endpoint_id& endpoint,
                                               state::time_point now) const;
    /// Returns the loads for a digest of `scope`, and remembers those of the scope `member`
    /// as reported.
    [[nodiscard]] std::vector<state::endpoint_load_entry> report(state::digest_scope scope,
                                                                 state::time_point now);
    /// Returns the loads of all hosts, by endpoint.
    [[nodiscard]] std::unordered_map<state::endpoint_id, state::endpoint_load>
    all(state::time_point now) const;

private:
    struct peer_loads {
        state::digest_scope scope = state::digest_scope::member;
        std::vector<state::endpoint_load_entry> loads;
        state::time_point at{};
    };
    /// The calls of this host at an endpoint that has named a limit.
    struct limited_calls {
        state::milliseconds wanted_half_life{0};
        decayed_rate wanted;
        decayed_rate sent;
    };
    using loads_by_endpoint = std::unordered_map<state::endpoint_id, state::endpoint_load>;
    static void add_rates(state::endpoint_load& load, const limited_calls& calls,
                          state::time_point now);
    void add_own(loads_by_endpoint& loads, state::time_point now) const;
    [[nodiscard]] loads_by_endpoint sum(state::time_point now, bool members_only) const;

    state::sharded_map<state::endpoint_id, state::endpoint_load> m_own;
    // Of endpoints that have named a limit; `report` erases those whose rates have decayed.
    state::sharded_map<state::endpoint_id, limited_calls> m_own_limited;
    state::sharded_map<std::string, peer_loads> m_peers;
    state::snapshot_cell<loads_by_endpoint> m_reported{loads_by_endpoint{}}; // to this host's hub
};

} // namespace savoryrelay::coordination
