// Keeps this host connected to the endpoints: finds out when it is cut off from them, lends its
// own connections to hosts that are, and says when no call can be served here.
#pragma once

#include "shared_state.h"

#include "savoryrelay/coordination/memory/memory_account.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/reach/endpoint_connector.h"
#include "savoryrelay/transport/relay/relay_server.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace savoryrelay::edge {

/// The connections of this host to endpoints, and those that it makes for other hosts. Without a
/// relay port in the settings it neither lends nor uses any.
class reach_part {
public:
    reach_part(transport::io_threads& threads, coordination::memory_account& account,
               shared_state& shared, const protocol::edge_settings& settings,
               std::function<std::uint64_t()> random, std::function<state::time_point()> now);

    /// Listens for tunnels of other hosts and begins to probe. `drop_idle_tunnels` closes this
    /// host's own tunnels that have been idle for the given time or longer.
    void start(std::function<void(state::milliseconds min_idle)> drop_idle_tunnels);
    /// Accepts no further tunnels.
    void stop_accepting();

    [[nodiscard]] transport::endpoint_connector& connector() { return m_connector; }
    /// Returns the number of tunnels that other hosts have through this one.
    [[nodiscard]] std::size_t open_tunnels() const;

private:
    [[nodiscard]] std::vector<state::runner_record> endpoints(state::time_point now) const;
    [[nodiscard]] transport::relay_route find_route(const state::endpoint_id& endpoint,
                                                    std::uint64_t started_ms) const;
    /// Returns `cut_off` if this host failed to reach the endpoint for a fault of its own, else
    /// `unreachable`.
    boost::asio::awaitable<protocol::relay_reply>
    explain_failure(const state::endpoint_id& endpoint);
    boost::asio::awaitable<void> watch_reach();
    /// Logs that the host was cut off or is no longer.
    void report_change(bool is_cut_off, bool is_stranded);

    transport::io_threads& m_threads;
    coordination::memory_account& m_account;
    shared_state& m_shared;
    const protocol::edge_settings& m_settings;
    std::function<state::time_point()> m_now;
    coordination::relay_choice m_relays;
    transport::endpoint_connector m_connector;
    std::function<void(state::milliseconds min_idle)> m_drop_idle_tunnels;
    std::unique_ptr<transport::relay_server> m_server;
    state::time_point m_dropped_at{}; // control context only
    bool m_was_cut_off = false;       // control context only
    bool m_was_stranded = false;      // control context only
};

} // namespace savoryrelay::edge
