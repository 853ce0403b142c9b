// Kept connections to endpoints, one set per socket thread.
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

/// Keeps connections that may carry another request. A connection is only
/// handed to callers on the thread that it was made on.
class endpoint_pool {
public:
    /// Connections kept for one endpoint and thread.
    static constexpr std::size_t max_kept = 32;

    /// Part of the idle time granted by a peer after which a kept connection is
    /// no longer used; the rest covers the way of a request.
    static constexpr double usual_idle_share = 0.8;

    /// Takes a kept connection, or null when there is none that has been idle
    /// for less than `idle_share` of the time that its peer grants.
    std::unique_ptr<endpoint_connection> take(boost::asio::io_context& context,
                                              const std::string& address, std::uint16_t port,
                                              double idle_share = usual_idle_share);
    /// Keeps `connection`, which must be reusable, for a later request.
    void keep(boost::asio::io_context& context, const std::string& address, std::uint16_t port,
              std::unique_ptr<endpoint_connection> connection);

private:
    static std::string key_of(boost::asio::io_context& context, const std::string& address,
                              std::uint16_t port);

    state::sharded_map<std::string, std::vector<std::unique_ptr<endpoint_connection>>> m_kept;
};

} // namespace savoryrelay::transport
