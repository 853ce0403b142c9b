// Client of the platform's services over HTTP. It offers them as blocking hooks to
// the coordination layer and never repeats a request on its own.
#pragma once

#include "savoryrelay/state/platform/platform_hooks.h"
#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <cstdint>
#include <string>

namespace savoryrelay::transport {

/// Address of the platform, and the time limit of each step of an exchange.
struct platform_client_settings {
    std::string address;
    std::uint16_t port = 0;
    state::milliseconds timeout{2'000};
};

/// Client of the platform. Its hooks block until a socket thread has completed the
/// exchange, so a socket thread must not call them.
class platform_client {
public:
    platform_client(io_threads& threads, platform_client_settings settings);

    /// Returns hooks that call this object, which must outlive them.
    [[nodiscard]] state::platform_hooks hooks();

private:
    struct answer {
        unsigned status = 0;
        std::string body;
    };

    /// Carries out one exchange. Fails with `store_unavailable` if no byte was sent,
    /// and with `store_result_unknown` if the request may have taken effect.
    [[nodiscard]] state::result<answer>
    exchange(boost::beast::http::verb method, const std::string& target, const std::string& body);
    [[nodiscard]] state::result<std::string> get(const std::string& target);
    boost::asio::awaitable<state::attempt<answer>> run_exchange(http_request request);

    io_threads& m_threads;
    platform_client_settings m_settings;
    endpoint_pool m_pool;
};

} // namespace savoryrelay::transport
