// An entry host: owns the parts, starts them and stops them.
#pragma once

#include "group_part.h"
#include "peer_part.h"
#include "reach_part.h"
#include "runner_signals.h"
#include "shared_state.h"
#include "store_part.h"

#include "savoryrelay/coordination/memory/memory_account.h"
#include "savoryrelay/coordination/serving/placement_explainer.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/transport/http/http_server.h"
#include "savoryrelay/transport/process/signals.h"
#include "savoryrelay/transport/serving/serving_front.h"

#include <atomic>
#include <memory>

namespace savoryrelay::edge {

/// An entry host. The first I/O thread runs the control context, which follows the tables,
/// exchanges digests and controls the groups. The other I/O threads serve calls.
class edge_host {
public:
    explicit edge_host(protocol::edge_settings settings);
    ~edge_host();
    edge_host(const edge_host&) = delete;
    edge_host& operator=(const edge_host&) = delete;

    /// Starts all parts. Throws when an address cannot be bound.
    void start();
    /// Serves until a signal requests the stop, then finishes the open calls.
    void run(transport::process_signals& signals);

private:
    /// Answers the operators' questions: metrics, and where a call would go.
    boost::asio::awaitable<void> answer_operator(transport::http_request request,
                                                 transport::response_writer& writer);
    boost::asio::awaitable<void> answer_placement(const transport::http_request& request,
                                                  transport::response_writer& writer);
    boost::asio::awaitable<void> answer_readiness(transport::http_request request,
                                                  transport::response_writer& writer);
    boost::asio::awaitable<void> answer_metrics(transport::response_writer& writer);
    void finish_open_calls();

    const protocol::edge_settings m_settings;
    const std::uint64_t m_incarnation;
    std::atomic<bool> m_is_stopping{false}; // not ready for further calls
    shared_state m_shared;
    coordination::memory_account m_account; // outlives the connections, which the threads own
    transport::io_threads m_threads;
    platform::store_client m_store;
    runner_signals m_signals;
    store_part m_tables;
    group_part m_groups;
    peer_part m_peers;
    reach_part m_reach;
    coordination::call_rate_limiter m_call_rates;
    coordination::endpoint_selector m_selector;
    coordination::placement_explainer m_explainer;
    coordination::serving_admission m_admission;
    transport::serving_front m_front;
    std::unique_ptr<transport::http_server> m_caller_server;
    std::unique_ptr<transport::http_server> m_readiness_server;
    std::unique_ptr<transport::http_server> m_metrics_server;
};

} // namespace savoryrelay::edge
