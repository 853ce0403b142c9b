// The daemon of an entry host: creates its parts from the settings, connects them
// through their hooks, and runs them until a signal asks it to stop.
#pragma once

#include "booking_part.h"
#include "membership_part.h"
#include "operators_part.h"
#include "record_part.h"
#include "routing_part.h"

#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/memory_platform.h"
#include "savoryrelay/transport/caller/caller_front.h"
#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/platform_client/platform_client.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/process/signals.h"
#include "savoryrelay/transport/process/worker_thread.h"

#include <atomic>
#include <memory>
#include <string>

namespace savoryrelay::daemon {

/// Owns all parts of one running daemon.
class relay_daemon {
public:
    /// `incarnation` must be unique to this run of the process.
    relay_daemon(protocol::daemon_settings settings, std::string incarnation);
    ~relay_daemon();
    relay_daemon(const relay_daemon&) = delete;
    relay_daemon& operator=(const relay_daemon&) = delete;

    /// Starts the parts, opens the sockets and, in embedded mode, loads the
    /// configuration file.
    [[nodiscard]] state::result<void> start();
    /// Serves until a signal asks for a stop, then finishes every open request.
    void run(transport::process_signals& signals);

private:
    [[nodiscard]] state::result<void> load_first_configuration();
    [[nodiscard]] coordination::call_hooks make_call_hooks();
    [[nodiscard]] operators_part_hooks make_operators_hooks();
    /// Returns the document of `revision`, or of the revision in force if `revision`
    /// is `nullopt`. Revision 0 in the result means that none was submitted yet.
    [[nodiscard]] state::result<protocol::configuration_revision>
    read_revision(std::optional<std::uint64_t> revision) const;
    void finish_open_requests();

    protocol::daemon_settings m_settings;
    std::string m_incarnation;
    state::metrics m_metrics;
    state::snapshot_cell<state::configuration> m_configuration{state::configuration{}};
    state::memory_platform m_embedded_platform; // used in embedded mode only
    std::atomic<bool> m_stopping{false};

    // The threads are declared before the parts that run on them, so that they
    // outlive these parts; the destructor stops them explicitly.
    transport::io_threads m_io_threads;
    transport::platform_client m_platform_client;
    state::platform_hooks m_platform;
    record_part m_record;
    membership_part m_membership;
    routing_part m_routing;
    coordination::call_coordinator m_coordinator;
    booking_part m_bookings;
    transport::caller_front m_caller_front;
    std::unique_ptr<transport::http_server> m_caller_server;
    operators_part m_operators; // declared last: its threads use the parts above
};

} // namespace savoryrelay::daemon
