// Implements connections to endpoints on the path that is open.
#include "savoryrelay/transport/reach/endpoint_connector.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <chrono>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::relay_outcome;
using protocol::relay_reply;
using state::milliseconds;

namespace {

// A round trip inside a region takes some milliseconds. An endpoint that does not
// accept a connection within this time is dead or unreachable.
constexpr milliseconds connect_timeout{250};
// A probe that is wrong about an endpoint costs little.
constexpr milliseconds probe_timeout{150};
// A relay replies after it has tried to connect to the endpoint and, if that failed, to another.
constexpr milliseconds relay_timeout = connect_timeout + probe_timeout;
// A relay answers within a few milliseconds if the endpoint accepts the connection.
constexpr milliseconds min_relay_time{50};
// Of all that is tried for one connection; within `selected_endpoint::validity`.
constexpr milliseconds search_timeout{450};

// Other hosts that must find an endpoint out of reach, unless there are fewer. One alone may be
// losing its paths.
constexpr std::size_t min_agreeing = 2;

const error_code refused_by_endpoint = asio::error::connection_refused;
const error_code no_relay = asio::error::network_unreachable;

relay_outcome outcome_of(const relayed_connect& result) {
    switch (result.reply.value_or(relay_reply::malformed)) {
    case relay_reply::connected:
        return result.failed ? relay_outcome::silent : relay_outcome::connected;
    case relay_reply::cut_off:
    case relay_reply::overloaded:
        return relay_outcome::cut_off;
    case relay_reply::unknown_endpoint:
        return relay_outcome::not_known;
    case relay_reply::unreachable:
        return relay_outcome::unreachable;
    case relay_reply::malformed:
        break;
    }
    return relay_outcome::silent;
}

std::vector<state::endpoint_id> ids_of(const std::vector<state::runner_record>& endpoints) {
    std::vector<state::endpoint_id> ids;
    ids.reserve(endpoints.size());
    for (const auto& endpoint : endpoints) {
        ids.push_back(endpoint.id);
    }
    return ids;
}

const state::runner_record& find(const std::vector<state::runner_record>& endpoints,
                                 const state::endpoint_id& id) {
    return *std::find_if(endpoints.begin(), endpoints.end(),
                         [&](const auto& endpoint) { return endpoint.id == id; });
}

} // namespace

connection_path endpoint_connector::path() const {
    const bool is_relayed = m_hooks.relay_port != 0 && m_reach.is_cut_off();
    return is_relayed ? connection_path::relayed : connection_path::direct;
}

bool endpoint_connector::is_stranded() const {
    return path() == connection_path::relayed && m_relays.has_no_relay(m_hooks.now());
}

void endpoint_connector::note_doubt() {
    // Without relays nothing probes, so a doubt would not end.
    if (m_hooks.relay_port != 0) {
        m_reach.note_doubt(m_hooks.now());
    }
}

asio::awaitable<error_code> endpoint_connector::open(endpoint_connection& connection,
                                                     const state::runner_record& endpoint,
                                                     milliseconds timeout) {
    const auto deadline = m_hooks.now() + std::min(timeout, search_timeout);
    if (path() == connection_path::direct) {
        const auto failed =
            co_await open_directly(connection, endpoint, std::min(timeout, connect_timeout));
        // Others may have found meanwhile that the host is cut off.
        if (!failed || path() == connection_path::direct) {
            co_return failed;
        }
        connection.close();
    }
    const auto opened = co_await open_through_relay(connection, endpoint, deadline);
    co_return opened.failed;
}

asio::awaitable<error_code> endpoint_connector::open_directly(endpoint_connection& connection,
                                                              const state::runner_record& endpoint,
                                                              milliseconds timeout) {
    const auto failed = co_await connection.connect(endpoint.address, endpoint.port, timeout);
    const auto now = m_hooks.now();
    if (failed) {
        note_doubt();
    } else {
        m_reach.note_reached(endpoint.id, m_hooks.endpoints(now).size(), now);
    }
    co_return failed;
}

asio::awaitable<endpoint_connector::relayed_open>
endpoint_connector::open_through_relay(endpoint_connection& connection,
                                       const state::runner_record& endpoint,
                                       state::time_point deadline) {
    const auto start = m_hooks.now();
    const auto hosts = m_relays.candidates(m_hooks.hosts(start), endpoint.availability_zone, start);
    if (hosts.empty()) {
        m_relays.note_no_candidate(start);
    }
    relayed_open opened{no_relay, 0};
    for (const auto& host : hosts) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - m_hooks.now());
        if (left < min_relay_time) {
            break;
        }
        const state::member_address relay{host.address.ip, m_hooks.relay_port};
        const auto asked_at = m_hooks.now();
        const auto time_limit = std::min(left, relay_timeout);
        const auto result = co_await connection.connect_through(relay, endpoint.id,
                                                                endpoint.started_ms, time_limit);
        const bool is_aborted = result.failed == asio::error::operation_aborted &&
                                m_hooks.now() - asked_at < time_limit;
        if (is_aborted || result.failed == asio::error::bad_descriptor) {
            opened.failed = result.failed; // the caller has gone
            co_return opened;
        }
        const auto outcome = outcome_of(result);
        // A relay that had less time may have waited for the endpoint.
        if (outcome != relay_outcome::silent || left >= relay_timeout) {
            m_relays.note(host, outcome, m_hooks.now());
        }
        m_hooks.count_relay(outcome);
        if (outcome == relay_outcome::connected) {
            opened.failed = {};
            co_return opened;
        }
        connection.close();
        if (outcome == relay_outcome::unreachable) {
            opened.failed = refused_by_endpoint;
            ++opened.unreachable;
        }
    }
    co_return opened;
}

bool endpoint_connector::is_own_failure(const error_code& failed) {
    return failed == no_relay;
}

asio::awaitable<bool> endpoint_connector::confirm_end(const endpoint_connection& connection,
                                                      const state::runner_record& endpoint) {
    if (!connection.is_relayed() || !connection.ends_answer_by_closing()) {
        co_return true;
    }
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    endpoint_connection probe(context);
    const auto result = co_await probe.connect_through(connection.relay(), endpoint.id,
                                                       endpoint.started_ms, relay_timeout);
    co_return !result.failed;
}

asio::awaitable<endpoint_contact> endpoint_connector::check(asio::io_context& context,
                                                            const state::runner_record& endpoint) {
    endpoint_connection connection(context);
    if (path() == connection_path::direct) {
        const auto failed = co_await open_directly(connection, endpoint, connect_timeout);
        if (!failed) {
            co_return endpoint_contact::accepts;
        }
        connection.close();
        bool is_own_fault = false;
        if (m_hooks.relay_port != 0) {
            is_own_fault = !co_await reaches_another(context, endpoint.id,
                                                     coordination::endpoint_reach::min_unreached);
        }
        if (!is_own_fault) {
            co_return failed == asio::error::connection_refused ? endpoint_contact::refuses
                                                                : endpoint_contact::silent;
        }
    }
    if (path() == connection_path::direct) {
        co_return endpoint_contact::unknown;
    }
    const auto now = m_hooks.now();
    const auto opened = co_await open_through_relay(connection, endpoint, now + search_timeout);
    if (!opened.failed) {
        co_return endpoint_contact::accepts;
    }
    const bool is_agreed = opened.unreachable >= std::min(min_agreeing, m_hooks.hosts(now).size());
    co_return opened.unreachable > 0 && is_agreed ? endpoint_contact::refuses
                                                  : endpoint_contact::unknown;
}

asio::awaitable<bool> endpoint_connector::reaches_another(asio::io_context& context,
                                                          const state::endpoint_id& endpoint,
                                                          std::size_t max_probes) {
    auto others = m_hooks.endpoints(m_hooks.now());
    const auto known = others.size();
    std::erase_if(others, [&](const auto& other) { return other.id == endpoint; });
    if (others.empty()) {
        co_return true; // nothing speaks against it
    }
    auto chosen = m_reach.choose(ids_of(others));
    chosen.resize(std::min(chosen.size(), max_probes));
    for (const auto& id : chosen) {
        if (m_reach.is_cut_off()) {
            co_return false;
        }
        const bool is_reached = co_await probe_endpoint(context, find(others, id), known);
        if (is_reached) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<void> endpoint_connector::probe(asio::io_context& context) {
    if (m_hooks.relay_port == 0) {
        co_return;
    }
    const auto now = m_hooks.now();
    if (m_reach.has_due_probes(now)) {
        const auto endpoints = m_hooks.endpoints(now);
        for (const auto& id : m_reach.due_probes(ids_of(endpoints), now)) {
            asio::co_spawn(context, probe_endpoint(context, find(endpoints, id), endpoints.size()),
                           asio::detached);
        }
    }
    if (path() == connection_path::relayed && m_relays.needs_search(now)) {
        co_await search_relay(context);
    }
}

asio::awaitable<bool> endpoint_connector::probe_endpoint(asio::io_context& context,
                                                         state::runner_record endpoint,
                                                         std::size_t known) {
    endpoint_connection connection(context);
    const auto failed = co_await connection.connect(endpoint.address, endpoint.port, probe_timeout);
    const auto now = m_hooks.now();
    if (failed) {
        m_reach.note_unreached(endpoint.id, known, now);
    } else {
        m_reach.note_reached(endpoint.id, known, now);
    }
    co_return !failed;
}

asio::awaitable<void> endpoint_connector::search_relay(asio::io_context& context) {
    const auto endpoints = m_hooks.endpoints(m_hooks.now());
    const auto chosen = m_reach.choose(ids_of(endpoints));
    if (chosen.empty()) {
        m_relays.note_no_candidate(m_hooks.now());
    } else {
        endpoint_connection connection(context);
        co_await open_through_relay(connection, find(endpoints, chosen.front()),
                                    m_hooks.now() + search_timeout);
    }
}

} // namespace savoryrelay::transport
