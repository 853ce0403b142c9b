// The exchange between entry hosts: digests as datagrams several times a second, and
// whole tables over HTTP for a host that cannot reach the store or has an older table.
#pragma once

#include "group_part.h"
#include "shared_state.h"
#include "store_part.h"

#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/transport/datagram/datagram_endpoint.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_server.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace savoryrelay::edge {

/// Exchanges digests and tables with the other entry hosts.
class peer_part {
public:
    peer_part(transport::io_threads& threads, platform::store_client& store, shared_state& shared,
              store_part& tables, group_part& groups, const protocol::edge_settings& settings,
              std::uint64_t incarnation, std::function<state::time_point()> now);

    /// Binds the sockets and starts the exchange. Throws when an address cannot be bound.
    void start();
    void stop();

private:
    struct known_host {
        state::member_address address;
        state::availability_zone_id availability_zone; ///< empty until the first digest
        std::uint64_t incarnation = 0;
        std::optional<state::time_point> last_digest_at;
        std::uint64_t operators_version = 0;
        bool is_store_reachable = false;
    };

    void receive(std::string_view datagram);
    void send_digests(state::time_point now);
    void add_address(const std::string& address_and_port);
    boost::asio::awaitable<void> exchange_digests();
    boost::asio::awaitable<void> sync_hosts_table();
    boost::asio::awaitable<void> fetch_missing_tables();
    boost::asio::awaitable<bool> fetch_table(state::member_address from, std::string path,
                                             state::table_mirror& mirror, bool is_operators_table);
    boost::asio::awaitable<void> answer_table(transport::http_request request,
                                              transport::response_writer& writer);
    void update_host_count(state::time_point now);

    transport::io_threads& m_threads;
    platform::store_client& m_store;
    shared_state& m_shared;
    store_part& m_tables;
    group_part& m_groups;
    const protocol::edge_settings m_settings;
    const std::uint64_t m_incarnation;
    std::function<state::time_point()> m_now;
    transport::endpoint_pool m_pool;
    std::unique_ptr<transport::http_server> m_server;
    std::unique_ptr<transport::datagram_endpoint> m_endpoint;
    std::size_t m_listed_hosts = 0; // control context only
    std::uint64_t m_round = 0;      // control context only

    std::mutex m_mutex;
    std::map<std::string, known_host> m_peers; // by "address:port"; guarded by m_mutex
};

} // namespace savoryrelay::edge
