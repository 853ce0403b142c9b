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

    /// Takes a kept connection, or null when there is none.
    std::unique_ptr<endpoint_connection> take(boost::asio::io_context& context,
                                              const std::string& address, std::uint16_t port);
    /// Keeps `connection`, which must be reusable, for a later request.
    void keep(boost::asio::io_context& context, const std::string& address, std::uint16_t port,
              std::unique_ptr<endpoint_connection> connection);

private:
    static std::string key_of(boost::asio::io_context& context, const std::string& address,
                              std::uint16_t port);

    state::sharded_map<std::string, std::vector<std::unique_ptr<endpoint_connection>>> m_kept;
};

} // namespace savoryrelay::transport
