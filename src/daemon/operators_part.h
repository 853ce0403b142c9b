// The operators' side of the daemon: the interface with its hooks.
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

/// What the interface needs from other parts.
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

/// Serves the operators while it exists.
class operators_part {
public:
    operators_part(const protocol::daemon_settings& settings, std::string incarnation,
                   const state::snapshot_cell<state::configuration>& configuration,
                   operators_part_hooks hooks);

    /// Begins to listen, unless the operators' port is 0.
    [[nodiscard]] state::result<void> start();
    /// Ends the interface after the requests that it is answering. Call it
    /// while the parts behind the hooks still run.
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
