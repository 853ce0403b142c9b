// The exchange between entry hosts: digests as datagrams several times a second, and
// tables and their changes over HTTP for hosts that do not follow the store themselves.
#pragma once

#include "group_part.h"
#include "shared_state.h"
#include "store_part.h"

#include "savoryrelay/coordination/exchange/digest_exchange.h"
#include "savoryrelay/coordination/memory/memory_account.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/transport/datagram/datagram_endpoint.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_server.h"

#include <memory>
#include <string>

namespace savoryrelay::edge {

/// Exchanges digests and tables with the other entry hosts.
class peer_part {
public:
    peer_part(transport::io_threads& threads, coordination::memory_account& account,
              platform::store_client& store, shared_state& shared, store_part& tables,
              group_part& groups, runner_signals& signals, const protocol::edge_settings& settings,
              std::uint64_t incarnation, std::function<state::time_point()> now);

    /// Binds the sockets and starts the exchange. Throws when an address cannot be bound.
    void start();
    void stop();

private:
    void receive(std::string_view datagram);
    void apply_observations(const state::peer_digest& digest, state::time_point now);
    void send_digests(state::time_point now);
    /// Counts a digest that is left out, and logs the first.
    void note_unencoded_digest(const state::failure& failure);
    void describe(state::peer_digest& digest, state::time_point now);
    boost::asio::awaitable<void> exchange_digests();
    boost::asio::awaitable<void> sync_hosts_table();
    boost::asio::awaitable<bool> read_hosts_table();
    boost::asio::awaitable<void> copy_tables();
    boost::asio::awaitable<bool> copy_table(coordination::shared_table table,
                                            state::table_mirror& mirror,
                                            state::time_point& fetched_at);
    boost::asio::awaitable<bool> fetch_table(state::member_address from,
                                             coordination::shared_table table,
                                             state::table_mirror& mirror,
                                             state::store_version after);
    /// Copies the operators' table from a peer whose configuration is newer. A restored store
    /// and its readers may know an older one than a peer that has run through.
    boost::asio::awaitable<bool> copy_newest_configuration();
    /// Returns the latest era of the store that this host knows, from the store or from peers.
    [[nodiscard]] std::uint64_t known_era() const;
    boost::asio::awaitable<void> answer_table(transport::http_request request,
                                              transport::response_writer& writer);
    void update_host_count(state::time_point now);
    [[nodiscard]] state::table_mirror& mirror_of(coordination::shared_table table);

    transport::io_threads& m_threads;
    coordination::memory_account& m_account;
    platform::store_client& m_store;
    shared_state& m_shared;
    store_part& m_tables;
    group_part& m_groups;
    runner_signals& m_signals;
    const protocol::edge_settings m_settings;
    const std::uint64_t m_incarnation;
    std::function<state::time_point()> m_now;
    transport::endpoint_pool m_pool;
    coordination::host_directory& m_directory;
    coordination::digest_exchange m_exchange;
    std::unique_ptr<transport::http_server> m_server;
    std::unique_ptr<transport::datagram_endpoint> m_endpoint;
    std::size_t m_listed_hosts = 0;      // control context only
    bool m_has_unencoded_digest = false; // control context only
    // The table of hosts was read, or the store cannot be reached; control context only.
    bool m_knows_hosts = false;
    bool m_has_read_hosts = false;                 // control context only
    state::time_point m_configuration_copied_at{}; // control context only
};

} // namespace savoryrelay::edge
