// Probes endpoints, answers other hosts' requests for tunnels, and reports changes.
#include "reach_part.h"

#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace savoryrelay::edge {

namespace asio = boost::asio;
using state::milliseconds;
using transport::log_info;

namespace {

// Interval of the check whether probes are due.
constexpr milliseconds check_interval{50};
// Idle tunnels hold descriptors and memory of the hosts in touch, which may be few.
constexpr milliseconds max_tunnel_idle{1'000};
constexpr milliseconds tunnel_drop_interval{250};
// Each tunnel has two sockets; most descriptors are for callers.
constexpr std::uint64_t descriptors_per_tunnel = 24;

transport::relay_limits limits_for(std::uint64_t max_descriptors) {
    transport::relay_limits limits;
    if (max_descriptors > 0) {
        limits.max_tunnels =
            std::min<std::uint64_t>(limits.max_tunnels, max_descriptors / descriptors_per_tunnel);
    }
    return limits;
}

} // namespace

reach_part::reach_part(transport::io_threads& threads, coordination::memory_account& account,
                       shared_state& shared, const protocol::edge_settings& settings,
                       std::function<std::uint64_t()> random,
                       std::function<state::time_point()> now)
    : m_threads(threads), m_account(account), m_shared(shared), m_settings(settings),
      m_now(std::move(now)), m_relays(settings.availability_zone, std::move(random)),
      m_connector(
          shared.reach, m_relays,
          {.hosts = [this](state::time_point at) { return m_shared.hosts.answering_hosts(at); },
           .endpoints = [this](state::time_point at) { return endpoints(at); },
           .now = m_now,
           .count_relay =
               [this](coordination::relay_outcome outcome) {
                   m_shared.metrics
                       .counter_of("savoryrelay_relayed_connects_total",
                                   {{"outcome", std::string(state::to_name(outcome))}})
                       .add();
               },
           .relay_port = settings.relay_port}) {}

void reach_part::start(std::function<void(milliseconds min_idle)> drop_idle_tunnels) {
    m_drop_idle_tunnels = std::move(drop_idle_tunnels);
    if (m_settings.relay_port == 0) {
        return;
    }
    transport::relay_hooks hooks;
    hooks.find_route = [this](const state::endpoint_id& endpoint, std::uint64_t started_ms) {
        return find_route(endpoint, started_ms);
    };
    hooks.note_connect = [this](const state::endpoint_id& endpoint,
                                const boost::system::error_code& failed) {
        const auto now = m_now();
        if (failed) {
            m_shared.reach.note_doubt(now);
        } else {
            m_shared.reach.note_reached(endpoint, endpoints(now).size(), now);
        }
    };
    m_server = std::make_unique<transport::relay_server>(
        m_threads, m_settings.peers.address, m_settings.relay_port, std::move(hooks), &m_account,
        limits_for(m_settings.max_descriptors));
    transport::start_control_loop(m_threads.context(0), "reach", [this] { return watch_reach(); });
}

void reach_part::stop_accepting() {
    if (m_server != nullptr) {
        m_server->stop_accepting();
    }
}

std::size_t reach_part::open_tunnels() const {
    return m_server == nullptr ? 0 : m_server->open_tunnels();
}

std::vector<state::runner_record> reach_part::endpoints(state::time_point now) const {
    std::vector<state::runner_record> all;
    const auto fleet = m_shared.fleet.snapshot();
    for (const auto& runner : *fleet) {
        if (runner.has_entry && !runner.is_leaving(now)) {
            all.push_back(runner.record);
        }
    }
    return all;
}

transport::relay_route reach_part::find_route(const state::endpoint_id& endpoint,
                                              std::uint64_t started_ms) const {
    // A relay of a relay could go round in a circle.
    if (m_shared.reach.is_cut_off()) {
        return protocol::relay_reply::cut_off;
    }
    const auto runner = m_shared.fleet.find(endpoint);
    if (!runner || runner->record.started_ms != started_ms) {
        return protocol::relay_reply::unknown_endpoint;
    }
    return state::member_address{runner->record.address, runner->record.port};
}

asio::awaitable<protocol::relay_reply>
reach_part::explain_failure(const state::endpoint_id& endpoint) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const bool is_in_touch = co_await m_connector.reaches_another(context, endpoint, 1);
    co_return is_in_touch ? protocol::relay_reply::unreachable : protocol::relay_reply::cut_off;
}

asio::awaitable<void> reach_part::watch_reach() {
    auto& context = m_threads.context(0);
    asio::steady_timer timer(context);
    while (true) {
        co_await m_connector.probe(context);
        const bool is_cut_off = m_shared.reach.is_cut_off();
        report_change(is_cut_off, m_connector.is_stranded());
        const auto now = m_now();
        if (is_cut_off && now - m_dropped_at >= tunnel_drop_interval) {
            m_dropped_at = now;
            m_drop_idle_tunnels(max_tunnel_idle);
        }
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void reach_part::report_change(bool is_cut_off, bool is_stranded) {
    if (std::exchange(m_was_cut_off, is_cut_off) != is_cut_off) {
        log_info("endpoint_reach", {{"outcome", is_cut_off ? "cut_off" : "in_touch"}});
        if (!is_cut_off) {
            m_drop_idle_tunnels(milliseconds(0));
        }
    }
    if (std::exchange(m_was_stranded, is_stranded) != is_stranded) {
        log_info("relays", {{"outcome", is_stranded ? "none_in_touch" : "in_touch"}});
    }
}

} // namespace savoryrelay::edge
