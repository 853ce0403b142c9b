// The shared state of an entry host. Each member does its own locking.
#pragma once

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "savoryrelay/coordination/exchange/host_directory.h"
#include "savoryrelay/coordination/reach/endpoint_reach.h"
#include "savoryrelay/coordination/retry/crash_watch.h"
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/coordination/serving/prediction_correction.h"
#include "savoryrelay/coordination/serving/repeat_window.h"
#include "savoryrelay/coordination/serving/work_meter.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/serving/serving_configuration.h"
#include "savoryrelay/state/serving/table_mirror.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace savoryrelay::edge {

/// The state that the parts of an entry host share.
struct shared_state {
    shared_state(const state::host_entry& host, coordination::repeat_limit repeat_limit,
                 state::milliseconds limit, coordination::crash_hooks crash_hooks,
                 std::function<std::uint64_t()> random)
        : own_host(host), hosts(host), reach(std::move(random)), repeats(repeat_limit),
          crashes(crash_settings_of(host), std::move(crash_hooks)), leave_limit(limit) {}

    /// Returns the settings of the quarantine on `host`.
    static coordination::crash_settings crash_settings_of(const state::host_entry& host) {
        auto settings = coordination::entry_host_crash_settings();
        settings.end_delay = coordination::quarantine_end_delay(host.name);
        return settings;
    }

    /// Returns the interval at which the runners' entries are read from the store, and
    /// copied from a peer. An entry passes both before a host learns that a runner leaves;
    /// the rest of the limit covers the calls already sent. The interval lets one read
    /// return several changes.
    [[nodiscard]] state::milliseconds entry_interval() const {
        constexpr state::milliseconds longest{450};
        constexpr int parts_of_limit = 4;
        return std::min(longest, leave_limit / parts_of_limit);
    }

    const state::host_entry own_host;
    state::metrics metrics;
    coordination::host_directory hosts;                             ///< the other entry hosts
    coordination::endpoint_reach reach;                             ///< whether it is cut off
    state::table_mirror operators{platform::compare_operator_rows}; ///< the operators' table
    state::table_mirror runners{platform::compare_runner_entries};  ///< the runners' entries
    state::snapshot_cell<state::serving_configuration> configuration{
        state::serving_configuration{}};
    state::snapshot_cell<std::set<state::availability_zone_id>> zones_out_of_service{
        std::set<state::availability_zone_id>{}};
    coordination::fleet_table fleet;
    coordination::load_tracker loads;
    coordination::work_meter work;
    coordination::prediction_correction correction;
    coordination::repeat_window repeats;
    coordination::crash_watch crashes;
    /// Time from a runner's notice to leave until no call may reach it.
    const state::milliseconds leave_limit;
    std::atomic<bool> is_store_reachable{false};
    /// This host follows the tables of the store for the hosts of its zone.
    std::atomic<bool> is_store_reader{false};
    /// The store readers hear what this host states in its digests.
    std::atomic<bool> is_hub{false};
    /// Number of entry hosts, this one included, among which the limits of the whole fleet
    /// are divided.
    std::atomic<std::size_t> host_count{1};
};

} // namespace savoryrelay::edge
