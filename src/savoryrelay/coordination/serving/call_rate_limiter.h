// Keeps the calls of all hosts to an endpoint within the rate that the endpoint has named. Every
// host sends the same share of the calls that it wants to send, computed from the rates of the
// whole fleet in the digests, so that no coordinator is needed and a host may use what the others
// leave.
#pragma once

#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// Lower limits count as this rate, so that some call shows the end of the limit.
inline constexpr double min_call_rate_per_s = 0.25;
/// Higher limits count as this rate, which keeps the arithmetic finite.
inline constexpr double max_call_rate_per_s = 1e9;

/// Returns the share, from 0 to 1, of the wanted calls that all hosts send to an endpoint which
/// takes `limit_per_s`. `wanted_per_s` and `sent_per_s` are the rates of all hosts.
[[nodiscard]] double share_within_rate(double limit_per_s, double wanted_per_s, double sent_per_s);

/// Returns the factor from the rates of the `heard` hosts to those that a host assumes of all
/// `known` ones. If it hears more than half of them, the others may have ended, and it counts
/// nothing for them. Otherwise more than half may be keeping to the whole limit among themselves,
/// so it takes half of its part.
[[nodiscard]] double unheard_factor(std::size_t known, std::size_t heard);

/// Dependencies of the limiter.
struct call_rate_hooks {
    /// Returns the number of hosts, this one included.
    std::function<std::size_t()> host_count;
    /// Returns the number of hosts, this one included, whose loads reach this host now.
    std::function<std::size_t(state::time_point now)> heard_hosts;
    /// Returns the hashes of the names of all known hosts; the first is that of this host.
    std::function<std::vector<std::uint64_t>()> host_hashes;
};

/// Decides which calls this host sends to endpoints that have named a rate. Thread-safe.
class call_rate_limiter {
public:
    /// Bounds of the time that a caller is told to wait after the rates of all endpoints for its
    /// call have been reached.
    static constexpr state::milliseconds min_retry_after{300};
    static constexpr state::milliseconds max_retry_after{3'000};

    call_rate_limiter(load_tracker& loads, call_rate_hooks hooks)
        : m_loads(loads), m_hooks(std::move(hooks)) {}

    /// Returns whether a call that is about to be sent to `runner` may be, and counts it.
    [[nodiscard]] bool admit(const runner_view& runner, state::time_point now);
    /// Returns how many times the limit of `runner` the hosts want to send; at least 1.
    [[nodiscard]] double shortage(const runner_view& runner, state::time_point now) const;

private:
    /// The part of a call that shares below 1 have added up to. Below 1 after each decision.
    struct call_credit {
        std::uint64_t started_ms = 0; // of the incarnation for which it was counted
        double value = 0;
        std::optional<state::time_point> used_at;
    };
    /// Credits that are not used for this long are forgotten.
    static constexpr state::milliseconds credit_retention{60'000};
    /// Returns where this host begins to count. Hosts that begin together send their first calls
    /// one after the other.
    [[nodiscard]] double initial_credit(const state::endpoint_id& endpoint) const;
    /// Returns the rates of all hosts at `endpoint`.
    [[nodiscard]] state::endpoint_load fleet_load(const state::endpoint_id& endpoint,
                                                  state::time_point now) const;

    load_tracker& m_loads;
    const call_rate_hooks m_hooks;
    state::sharded_map<state::endpoint_id, call_credit> m_credits;
};

} // namespace savoryrelay::coordination
