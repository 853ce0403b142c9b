// Queries plain services for bookings by their service key. The recovery of bookings uses the
// client through blocking hooks.
#pragma once

#include "savoryrelay/coordination/booking/booking_coordinator.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <string>

namespace savoryrelay::transport {

/// Client of the booking interface of services. Its hooks block until a socket thread
/// has completed the exchange, so a socket thread must not call them.
class service_client {
public:
    /// `timeout` limits each step of an exchange with one endpoint.
    service_client(io_threads& threads,
                   const state::snapshot_cell<state::configuration>& configuration,
                   state::milliseconds timeout);

    /// Returns hooks that call this object, which must outlive them. They fail with
    /// `endpoint_failed` if the endpoints' answers do not determine the key's status.
    [[nodiscard]] coordination::booking_service_hooks hooks();

private:
    /// Queries every endpoint of the deployment and combines the answers. Endpoints
    /// need not share their bookings: if one endpoint ran or is running the booking, its
    /// answer is returned. A key counts as closed or absent only if every endpoint answered.
    [[nodiscard]] state::result<coordination::service_key_report>
    query_endpoints(const state::deployment_id& deployment, boost::beast::http::verb method,
                    const std::string& target);
    [[nodiscard]] state::result<coordination::service_key_report>
    query_endpoint(const state::endpoint_config& endpoint, boost::beast::http::verb method,
                   const std::string& target);
    boost::asio::awaitable<state::attempt<std::string>>
    run_exchange(state::endpoint_config endpoint, http_request request);

    io_threads& m_threads;
    const state::snapshot_cell<state::configuration>& m_configuration;
    state::milliseconds m_timeout;
};

} // namespace savoryrelay::transport
