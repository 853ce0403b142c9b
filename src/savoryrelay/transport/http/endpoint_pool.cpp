// Stores idle connections and hands them out again.
#include "savoryrelay/transport/http/endpoint_pool.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace savoryrelay::transport {

std::string endpoint_pool::key_of(boost::asio::io_context& context, const std::string& address,
                                  std::uint16_t port, connection_path path) {
    return std::to_string(reinterpret_cast<std::uintptr_t>(&context)) + '/' + address + ':' +
           std::to_string(port) + '/' + std::string(state::to_name(path));
}

std::unique_ptr<endpoint_connection> endpoint_pool::take(boost::asio::io_context& context,
                                                         const std::string& address,
                                                         std::uint16_t port,
                                                         const connection_use& use) {
    const auto now = std::chrono::steady_clock::now();
    while (true) {
        std::unique_ptr<endpoint_connection> taken;
        m_idle.update_existing(key_of(context, address, port, use.path), [&](auto& connections) {
            const auto found =
                std::find_if(connections.rbegin(), connections.rend(),
                             [&](const auto& each) { return each->may_carry(use.request); });
            if (found != connections.rend()) {
                taken = std::move(*found);
                connections.erase(std::next(found).base());
            }
        });
        if (taken == nullptr || taken->usable_when_idle(now, use.idle_share)) {
            return taken;
        }
    }
}

void endpoint_pool::keep(boost::asio::io_context& context, const std::string& address,
                         std::uint16_t port, std::unique_ptr<endpoint_connection> connection) {
    connection->set_idle_since(std::chrono::steady_clock::now());
    const auto key = key_of(context, address, port, connection->path());
    m_idle.update(key, [&](auto& connections) {
        if (connections.size() < max_idle_connections) {
            connections.push_back(std::move(connection));
        }
    });
}

std::size_t endpoint_pool::drop_idle(connection_path path, state::milliseconds min_idle,
                                     state::time_point now) {
    std::vector<std::unique_ptr<endpoint_connection>> dropped;
    m_idle.update_each([&](const std::string&, auto& connections) {
        const auto first = std::stable_partition(
            connections.begin(), connections.end(), [&](const auto& connection) {
                return connection->path() != path || now - connection->idle_since() < min_idle;
            });
        std::move(first, connections.end(), std::back_inserter(dropped));
        connections.erase(first, connections.end());
    });
    for (auto& connection : dropped) {
        const auto executor = connection->executor();
        boost::asio::post(executor, [closed = std::move(connection)]() { closed->close(); });
    }
    return dropped.size();
}

} // namespace savoryrelay::transport
