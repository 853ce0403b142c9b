// Asks plain services for bookings by their key, as blocking hooks for the
// recovery of bookings.
#pragma once

#include "savoryrelay/coordination/booking/booking_coordinator.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <string>

namespace savoryrelay::transport {

/// Client of the booking interface of services. Its hooks block and must not
/// be called on a socket thread, which they would wait for.
class service_client {
public:
    /// `timeout` bounds each step of an exchange with one endpoint.
    service_client(io_threads& threads, const state::snapshot_cell<state::configuration>& services,
                   state::milliseconds timeout);

    /// Hooks that call this object, which must outlive them. They fail with
    /// `endpoint_failed` when the endpoints give no certain reading.
    [[nodiscard]] coordination::booking_service_hooks hooks();

private:
    /// Asks every endpoint of the deployment. Endpoints need not share their
    /// bookings: one that ran or runs the key decides, and a key counts as
    /// closed or absent only when every endpoint has answered.
    [[nodiscard]] state::result<coordination::service_key_report>
    ask(const state::deployment_id& deployment, boost::beast::http::verb method,
        const std::string& target);
    [[nodiscard]] state::result<coordination::service_key_report>
    ask_endpoint(const state::endpoint_config& endpoint, boost::beast::http::verb method,
                 const std::string& target);
    boost::asio::awaitable<state::attempt<std::string>>
    run_exchange(state::endpoint_config endpoint, http_request request);

    io_threads& m_threads;
    const state::snapshot_cell<state::configuration>& m_configuration;
    state::milliseconds m_timeout;
};

} // namespace savoryrelay::transport
