// Decides which digests an entry host sends in each round, and what it does with those that
// it receives: members report to their hub, hubs exchange sums and pass the whole on.
#pragma once

#include "savoryrelay/coordination/exchange/host_directory.h"
#include "savoryrelay/coordination/exchange/observation_schedule.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Contents of this host's digests. The hooks are called on the thread of `next_round`.
struct digest_sources {
    /// Fills in the sender, the versions and ages, and whether the sender is the controller.
    std::function<void(state::peer_digest& digest, state::time_point now)> describe;
    std::function<std::vector<state::endpoint_load_entry>(state::digest_scope scope,
                                                          state::time_point now)>
        loads;
    std::function<std::vector<state::model_work>(state::digest_scope scope, state::time_point now)>
        work;
    std::function<std::vector<state::runner_observation>(state::time_point now)> observations;
    std::function<std::vector<state::endpoint_id>()> runners_to_confirm;
    std::function<std::vector<state::leaving_runner>(state::time_point now)> leaving_runners;
    std::function<std::vector<state::call_rate_notice>(state::time_point now)> call_rates;
    std::function<std::vector<state::crash_notice>(state::time_point now)> crash_notices;
};

/// A digest and the hosts that get it.
struct outgoing_digest {
    state::peer_digest digest;
    std::vector<state::member_address> receivers;
};

/// What to do with a received digest.
struct received_digest {
    bool is_accepted = false; ///< false for digests of this host and of ended processes
    /// Its loads and work count here, and what it states of the store: it is from a host that
    /// reports to this hub, from another hub, or from the hub that this host reports to.
    bool is_load_source = false;
    /// Hosts to which the datagram is passed on unchanged.
    std::vector<state::member_address> forward_to;
};

/// The exchange as one host sees it. Thread-safe.
class digest_exchange {
public:
    /// A hub sends its members the digest of the fleet once in this many rounds.
    static constexpr std::uint64_t rounds_per_fleet_digest = 2;
    /// Silent hosts are probed once in this many rounds.
    static constexpr std::uint64_t rounds_per_probe = 10;
    static constexpr std::size_t peers_per_digest = 3;
    static constexpr std::size_t peers_per_introduction = 12;

    digest_exchange(host_directory& hosts, digest_sources sources)
        : m_hosts(hosts), m_sources(std::move(sources)) {}

    /// Returns the digests of the next round. One thread calls it, at equal intervals.
    [[nodiscard]] std::vector<outgoing_digest> next_round(state::time_point now);
    /// Records a digest and decides what to do with it.
    [[nodiscard]] received_digest receive(const state::peer_digest& digest, state::time_point now);
    /// Returns whether this host follows the tables of the store for its zone, as of the
    /// last round.
    [[nodiscard]] bool is_store_reader() const { return m_is_store_reader.load(); }
    /// Returns whether this host sends its digests to the hubs as one of them, as of the last
    /// round.
    [[nodiscard]] bool is_hub() const { return m_is_hub.load(); }

private:
    [[nodiscard]] bool counts_loads(const state::peer_digest& digest) const;

    host_directory& m_hosts;
    const digest_sources m_sources;
    std::uint64_t m_round = 0;           // used by next_round only
    observation_schedule m_observations; // used by next_round only
    std::atomic<bool> m_is_store_reader{false};
    std::atomic<bool> m_is_hub{false};

    std::mutex m_mutex;                                // guards the members below
    digest_receivers m_receivers;                      // of the last round
    std::optional<state::member_address> m_controller; // sent the last digest of a controller
};

} // namespace savoryrelay::coordination
