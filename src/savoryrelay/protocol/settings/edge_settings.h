// Settings of the entry-host program. The platform stores all durable state.
#pragma once

#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// The settings of one entry host. docs/settings.md lists them.
struct edge_settings {
    state::host_id host;
    state::availability_zone_id availability_zone;
    network_address callers;   ///< listens for callers' requests
    network_address readiness; ///< queried by the load balancer
    network_address peers;     ///< receives datagrams and table reads from other entry hosts
    /// Port of tunnels to endpoints for other entry hosts, the same on all hosts; 0: none.
    std::uint16_t relay_port = 0;
    network_address metrics;
    network_address store;
    /// Hosts to contact first. Each has the port of `peers`; the ports in the `seeds` field
    /// of the settings file are ignored.
    std::vector<network_address> seeds;
    bool is_first_start = false;           ///< true if the whole system starts for the first time
    state::milliseconds stop_limit{8'000}; ///< time from SIGTERM until the process is killed
    /// Time limit, counted from a runner's announcement that it leaves, after which no call
    /// may reach the runner.
    state::milliseconds leave_limit{2'000};
    double repeat_ratio = 0.2; ///< repeats per call, over all hosts
    double repeat_burst = 100; ///< further repeats per window, over all hosts
    state::milliseconds repeat_window{10'000};
    double processor_share = 1;     ///< processor cores that this host may use
    std::uint32_t call_threads = 1; ///< threads that serve calls
    std::uint64_t memory_mb = 0;    ///< memory that the process may use, in 10^6 bytes; 0: no limit
    std::uint64_t max_descriptors = 0; ///< descriptors that the process may open; 0: no limit
};

/// Reads and checks YAML settings. Fails with `invalid_settings` and the name of the
/// field; for an unknown field, also with the nearest known name.
[[nodiscard]] state::result<edge_settings> read_edge_settings(const std::string& text);

} // namespace savoryrelay::protocol
