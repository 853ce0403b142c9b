// Builds the daemon's status report and starts the operators' server.
#include "operators_part.h"

#include "savoryrelay/transport/process/log.h"

namespace savoryrelay::daemon {

operators_part::operators_part(const protocol::daemon_settings& settings, std::string incarnation,
                               const state::snapshot_cell<state::configuration>& configuration,
                               operators_part_hooks hooks)
    : m_settings(settings), m_incarnation(std::move(incarnation)), m_configuration(configuration),
      m_hooks(std::move(hooks)) {}

protocol::daemon_status operators_part::status() const {
    const auto configuration = m_configuration.load();
    protocol::daemon_status status;
    status.member = m_settings.member;
    status.incarnation = m_incarnation;
    status.revision = configuration->revision;
    status.open_requests = m_hooks.open_requests();
    status.members = m_hooks.members();
    for (const auto& endpoint : configuration->endpoints) {
        status.endpoints.push_back({endpoint, m_hooks.endpoint_state(endpoint.id),
                                    configuration->is_drained(endpoint.availability_zone)});
    }
    return status;
}

state::result<void> operators_part::start() {
    const auto& address = m_settings.operators;
    const auto listen_address = address.address + ":" + std::to_string(address.port);
    if (address.port == 0) {
        transport::log_info("operators_off", {{"note", "operators.port is 0"}});
        return {};
    }
    try {
        m_server = std::make_unique<transport::operators_server>(
            address.address, address.port,
            transport::operator_hooks{[this] { return status(); }, m_hooks.read_configuration,
                                      m_hooks.submit, m_hooks.changed, m_hooks.now});
    } catch (const std::exception& error) {
        return state::fail(state::failure_kind::invalid_settings,
                           "operators: cannot listen at " + listen_address + ": " + error.what());
    }
    transport::log_info("listening", {{"operators", listen_address}});
    return {};
}

} // namespace savoryrelay::daemon
