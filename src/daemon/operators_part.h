// The operators' interface of the daemon: the HTTP server and the hooks that
// connect it to the other parts.
#pragma once

#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"
#include "savoryrelay/transport/operators/operators_server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryrelay::daemon {

/// Functions of the other parts that the operators' interface calls.
struct operators_part_hooks {
    transport::submit_configuration_hook submit;
    std::function<state::result<protocol::configuration_revision>(
        std::optional<std::uint64_t> revision)>
        read_configuration;
    std::function<std::vector<protocol::member_status>()> members;
    std::function<state::endpoint_state(const state::endpoint_id&)> endpoint_state;
    std::function<std::uint64_t()> open_requests;
    std::function<void(const transport::operator_change&)> changed;
    std::function<state::time_point()> now;
};

/// Serves the operators' interface between `start` and `stop`.
class operators_part {
public:
    operators_part(const protocol::daemon_settings& settings, std::string incarnation,
                   const state::snapshot_cell<state::configuration>& configuration,
                   operators_part_hooks hooks);

    /// Starts to listen. With port 0 in the settings the interface stays off.
    [[nodiscard]] state::result<void> start();
    /// Stops the server after it has answered the requests in progress. The parts
    /// behind the hooks must still be running.
    void stop() { m_server.reset(); }

private:
    [[nodiscard]] protocol::daemon_status status() const;

    const protocol::daemon_settings& m_settings;
    std::string m_incarnation;
    const state::snapshot_cell<state::configuration>& m_configuration;
    operators_part_hooks m_hooks;
    std::unique_ptr<transport::operators_server> m_server;
};

} // namespace savoryrelay::daemon
