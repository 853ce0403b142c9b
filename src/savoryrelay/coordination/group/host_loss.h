// Decides what to do with a group that has lost hosts: replace them by spares of its
// fabric domain, wait for them, or dissolve the group.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// What to do with a group that has lost hosts.
enum class host_loss_action {
    wait,     ///< keep the claims and wait for the hosts
    replace,  ///< take spares of the same fabric domain under a new generation
    dissolve, ///< release the hosts, so that a group can be formed elsewhere
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::host_loss_action> {
    using a = savoryrelay::coordination::host_loss_action;
    static constexpr std::array rows{
        enum_name<a>{a::wait, "wait"},
        enum_name<a>{a::replace, "replace"},
        enum_name<a>{a::dissolve, "dissolve"},
    };
};

namespace savoryrelay::coordination {

/// Model of the duration of a host's outage. An outage is either a restart or a failure,
/// with probabilities proportional to the rates `restarts_per_day` and `failures_per_day`.
/// Both durations are exponentially distributed. docs/design.md 1.2 gives the rates.
struct outage_model {
    double restarts_per_day = 50.0;
    double failures_per_day = 8.0;
    state::milliseconds mean_restart{240'000};
    state::milliseconds mean_failure{14'400'000};
};

/// Returns the mean remaining time until the return of a host that has been away for
/// `elapsed`. It grows with `elapsed`, because the longer an outage lasts, the less
/// likely it is a restart.
[[nodiscard]] state::milliseconds expected_time_to_return(const outage_model& model,
                                                          state::milliseconds elapsed);

/// Input of the decision: a group that has lost hosts.
struct host_loss_input {
    std::uint32_t hosts = 0;             ///< size of the group
    std::uint32_t missing = 0;           ///< lost hosts, 1 to `hosts`
    std::uint32_t spares = 0;            ///< free live hosts in the group's domain
    bool zone_drained = false;           ///< operators have drained the group's zone
    bool fits_elsewhere = false;         ///< another domain has room for the whole group
    std::uint32_t repairable_groups = 0; ///< groups of the domain that the survivors would complete
    state::milliseconds time_since_loss{0}; ///< time since the first host was lost
};

/// Time estimates and cost weights of the decision.
struct host_loss_settings {
    outage_model outages;
    state::milliseconds load_time{180'000};      ///< time to join and load a whole group
    state::milliseconds reform_overhead{10'000}; ///< time to dissolve a group and claim hosts
    double group_weight = 1.0;                   ///< cost of a group-second of downtime
    double accelerator_weight = 0.01;            ///< cost of an accelerator-second stranded
    std::uint32_t accelerators_per_host = 8;
};

/// Expected cost of one action.
struct host_loss_estimate {
    host_loss_action action = host_loss_action::wait;
    double downtime_seconds = 0.0;             ///< group-seconds
    double stranded_accelerator_seconds = 0.0; ///< claimed by a group that does not serve
};

/// Returns the estimate of the cheapest possible action. Waiting is always possible.
/// Replacing needs a spare for each missing host, and a zone that is in service.
/// Dissolving needs another domain with room for the group, or groups that the survivors
/// can complete.
[[nodiscard]] host_loss_estimate decide_host_loss(const host_loss_input& loss,
                                                  const host_loss_settings& settings);

using decide_host_loss_hook =
    std::function<host_loss_estimate(const host_loss_input&, const host_loss_settings&)>;

} // namespace savoryrelay::coordination
