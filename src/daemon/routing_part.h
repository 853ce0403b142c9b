// Routing and admission of a daemon: owns the endpoint catalog, the admission
// queue, the retry budget and the crash suspects, and updates them periodically on
// a socket thread.
#pragma once

#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace savoryrelay::daemon {

/// Owns the components that the call coordinator consults. It must outlive the
/// coordinator, and the socket threads must be stopped before it is destroyed.
class routing_part {
public:
    routing_part(transport::io_threads& threads,
                 const state::snapshot_cell<state::configuration>& configuration,
                 state::metrics& metrics, state::availability_zone_id local_zone,
                 std::function<state::time_point()> now);

    /// Starts the periodic updates.
    void start();
    /// Rebuilds the catalog if a newer configuration is in force. Otherwise it only
    /// compares two revisions, so it can be called for each accepted call.
    void apply_newer_configuration();
    /// Returns the state of `endpoint` as this member knows it, or a default state
    /// if it is not configured.
    [[nodiscard]] state::endpoint_state endpoint_state(const state::endpoint_id& endpoint) const;
    /// Returns references to the components for the call coordinator.
    [[nodiscard]] coordination::call_components components();

private:
    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void>
    poll_load(std::shared_ptr<const coordination::deployment_routes> routes, std::uint32_t slot);
    void poll_engines();
    void handle_report(const coordination::deployment_routes& routes, std::uint32_t slot,
                       const std::string& body);
    void record_crash(const state::endpoint_id& endpoint, state::time_point now);

    transport::io_threads& m_threads;
    const state::snapshot_cell<state::configuration>& m_configuration;
    std::function<state::time_point()> m_now;
    state::counter& m_reports;
    state::counter& m_report_failures;

    coordination::endpoint_catalog m_catalog;
    coordination::call_queue m_queue;
    coordination::retry_budget m_budget;
    coordination::crash_suspects m_suspects;
    coordination::broken_attempts m_broken;

    state::sharded_map<state::endpoint_id, std::uint64_t> m_completed_counts; // last reported value
    state::sharded_map<state::endpoint_id, std::uint32_t> m_refused_polls; // since the last report
    std::atomic<std::uint64_t> m_catalog_revision{0}; // revision that the catalog was built from
    std::atomic<bool> m_poll_at_once{false};          // set after a rebuild
    std::mutex m_rebuild_mutex;                       // allows one rebuild at a time
};

} // namespace savoryrelay::daemon
