// Settings of the entry-host program on a platform that keeps all durable state.
#pragma once

#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// Settings of one entry host; docs/settings.md lists them.
struct edge_settings {
    state::host_id host;
    state::availability_zone_id availability_zone;
    network_address callers;   ///< takes callers' requests
    network_address readiness; ///< asked by the balancer
    network_address peers;     ///< datagrams and table reads of other entry hosts
    network_address metrics;
    network_address store;
    std::vector<network_address> seeds;    ///< hosts to ask first; their ports are not used
    bool is_first_start = false;           ///< the whole system starts for the first time
    state::milliseconds stop_limit{8'000}; ///< from SIGTERM until the process is killed
    /// How soon after a runner's notice no call may reach it any more.
    state::milliseconds leave_limit{2'000};
    double repeat_ratio = 0.2; ///< repeats per call that all hosts may send
    double repeat_burst = 100; ///< repeats beyond that in one window, for all hosts
    state::milliseconds repeat_window{10'000};
    double processor_share = 1;     ///< of a core, which this host may use
    std::uint32_t call_threads = 1; ///< threads that serve calls
};

/// Reads and checks YAML settings. Fails with `invalid_settings`, naming the
/// field and, for an unknown one, the nearest known name.
[[nodiscard]] state::result<edge_settings> read_edge_settings(const std::string& text);

} // namespace savoryrelay::protocol
