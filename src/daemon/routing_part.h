// The decisions under load of a daemon: its endpoint catalog, admission queue,
// retry budget and crash suspects, kept up to date by a tick on a socket thread.
#pragma once

#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace savoryrelay::daemon {

/// Owns what the call path decides with. Outlives the coordinator; the socket
/// threads are stopped before it goes.
class routing_part {
public:
    routing_part(transport::io_threads& threads,
                 const state::snapshot_cell<state::configuration>& configuration,
                 state::metrics& metrics, state::availability_zone_id local_zone,
                 std::function<state::time_point()> now);

    /// Starts the tick.
    void start();
    /// Rebuilds the catalog when a newer configuration is in force. Cheap
    /// otherwise, so that each accepted call may ask for it.
    void follow_configuration();
    /// What this member knows of `endpoint`; a default state when it is not configured.
    [[nodiscard]] state::endpoint_state endpoint_state(const state::endpoint_id& endpoint) const;
    /// References for the coordinator.
    [[nodiscard]] coordination::call_components decisions();

private:
    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void>
    poll_load(std::shared_ptr<const coordination::deployment_routes> routes, std::uint32_t slot);
    void poll_engines();
    void take_report(const coordination::deployment_routes& routes, std::uint32_t slot,
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

    transport::endpoint_pool m_pool;
    state::sharded_map<state::endpoint_id, std::uint64_t> m_completed;     // as last reported
    state::sharded_map<state::endpoint_id, std::uint32_t> m_refused_polls; // since a report
    std::atomic<std::uint64_t> m_revision{0}; // that the catalog follows
    std::atomic<bool> m_poll_at_once{false};  // after a rebuild
    std::mutex m_rebuild;                     // one rebuild at a time
};

} // namespace savoryrelay::daemon
