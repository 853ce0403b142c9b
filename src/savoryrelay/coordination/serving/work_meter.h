// Measures the work that calls cause for each model: a steady average, by which groups are
// divided among the models, and the recent demand by urgency, by which calls are admitted.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Keeps an exponentially decayed average of the rate of work. Thread-safe.
class work_meter {
public:
    /// Work counts half after this time.
    static constexpr state::milliseconds half_life{3'000};
    /// Demand counts half after this time.
    static constexpr state::milliseconds demand_half_life{300};
    /// The work of a host expires when it has sent no digest for this long.
    static constexpr state::milliseconds peer_work_age{3'000};
    /// The demand of a host expires earlier: a host that moves to another hub would be counted
    /// twice, and one that has ended gets no calls.
    static constexpr state::milliseconds peer_demand_age{600};

    /// Records a call that keeps a group of `model` busy for `work_ms`.
    void note(const std::string& model, state::call_urgency urgency, double work_ms,
              state::time_point now);
    /// Replaces the work in the digests of the host `peer`. Work of the scope `fleet`
    /// replaces that of all other hosts, and the other way round.
    void apply_peer(const std::string& peer, state::digest_scope scope,
                    std::vector<state::model_work> work, state::time_point now);

    /// Returns this host's own work, in groups kept busy.
    [[nodiscard]] std::vector<state::model_work> own(state::time_point now) const;
    /// Returns the work for a digest of `scope`.
    [[nodiscard]] std::vector<state::model_work> report(state::digest_scope scope,
                                                        state::time_point now) const;
    /// Returns the work of all hosts by model; empty before the first call.
    [[nodiscard]] std::map<std::string, double> all(state::time_point now) const;
    /// Returns the recent demand of all hosts for `model`, in groups kept busy.
    [[nodiscard]] state::urgency_amounts demand(const std::string& model,
                                                state::time_point now) const;

private:
    struct average {
        double work_ms = 0;                 // decayed sum
        state::urgency_amounts demand_ms{}; // decayed sums
        state::time_point at{};
    };
    struct peer_work {
        state::digest_scope scope = state::digest_scope::member;
        std::vector<state::model_work> work;
        state::time_point at{};
    };
    static average decayed(average value, state::time_point now);
    [[nodiscard]] std::map<std::string, state::model_work> sum(state::time_point now,
                                                               bool members_only) const;

    mutable std::mutex m_mutex;
    std::map<std::string, average> m_own;     // guarded by m_mutex
    std::map<std::string, peer_work> m_peers; // guarded by m_mutex
};

} // namespace savoryrelay::coordination
