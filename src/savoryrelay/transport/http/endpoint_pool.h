// A pool of idle connections to endpoints, with one set per socket thread.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/transport/http/endpoint_connection.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace savoryrelay::transport {

/// What an idle connection is taken for.
struct connection_use {
    /// Fraction of the peer's keep-alive timeout during which an idle connection is
    /// reused. The remainder is the time that a request needs to reach the peer.
    static constexpr double default_idle_share = 0.8;

    double idle_share = default_idle_share;
    state::request_id request{}; ///< empty: a request without an id
    connection_path path = connection_path::direct;
};

/// Stores idle connections that may carry another request. A connection is returned
/// only to the thread on which it was opened.
class endpoint_pool {
public:
    /// Maximum number of idle connections for one endpoint and thread.
    static constexpr std::size_t max_idle_connections = 32;

    /// Removes and returns a connection that may carry the request of `use` and has been idle for
    /// at most its share of the peer's keep-alive timeout. Returns null if there is none.
    std::unique_ptr<endpoint_connection> take(boost::asio::io_context& context,
                                              const std::string& address, std::uint16_t port,
                                              const connection_use& use = {});
    /// Stores `connection`, which must be reusable, for a later request. `address` and `port` are
    /// those of the endpoint, also if the connection is relayed.
    void keep(boost::asio::io_context& context, const std::string& address, std::uint16_t port,
              std::unique_ptr<endpoint_connection> connection);

    /// Closes the connections of one path that have been idle for `min_idle` or longer at `now`,
    /// each on its thread. Returns their number. May be called from any thread.
    std::size_t drop_idle(connection_path path, state::milliseconds min_idle,
                          state::time_point now);

private:
    static std::string key_of(boost::asio::io_context& context, const std::string& address,
                              std::uint16_t port, connection_path path);

    // The connections of one key have the same context, endpoint and path.
    state::sharded_map<std::string, std::vector<std::unique_ptr<endpoint_connection>>> m_idle;
};

} // namespace savoryrelay::transport
