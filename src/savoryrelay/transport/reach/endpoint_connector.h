// Opens connections to endpoints: directly, or through another host while this one is cut off
// from all endpoints.
#pragma once

#include "savoryrelay/coordination/reach/endpoint_reach.h"
#include "savoryrelay/coordination/reach/relay_choice.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/serving/runner_record.h"
#include "savoryrelay/transport/http/endpoint_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryrelay::transport {

/// Whether an endpoint's process accepts connections.
enum class endpoint_contact {
    accepts,
    refuses, ///< no process listens at its address
    silent,  ///< neither, while other endpoints are in reach
    unknown, ///< this host can't tell, because it is cut off
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::endpoint_contact> {
    using c = savoryrelay::transport::endpoint_contact;
    static constexpr std::array rows{
        enum_name<c>{c::accepts, "accepts"},
        enum_name<c>{c::refuses, "refuses"},
        enum_name<c>{c::silent, "silent"},
        enum_name<c>{c::unknown, "unknown"},
    };
};

namespace savoryrelay::transport {

/// What the connector knows of the fleet.
struct connector_hooks {
    /// Returns the other hosts that answer this one.
    std::function<std::vector<state::host_entry>(state::time_point now)> hosts;
    /// Returns the endpoints that should be in reach.
    std::function<std::vector<state::runner_record>(state::time_point now)> endpoints;
    std::function<state::time_point()> now;
    /// Called after each attempt to open a connection through a relay.
    std::function<void(coordination::relay_outcome)> count_relay = [](auto) {};
    /// Port of the tunnels on all hosts; 0: this host uses no relays, and so is never cut off.
    std::uint16_t relay_port = 0;
};

/// Opens and checks connections to endpoints. Thread-safe.
class endpoint_connector {
public:
    /// The referenced objects must outlive the connector.
    endpoint_connector(coordination::endpoint_reach& reach, coordination::relay_choice& relays,
                       connector_hooks hooks)
        : m_reach(reach), m_relays(relays), m_hooks(std::move(hooks)) {}

    /// Returns how connections are opened now. An idle connection must have the same path.
    [[nodiscard]] connection_path path() const;
    /// Returns whether calls can reach no endpoint, because the host is cut off and finds no relay.
    [[nodiscard]] bool is_stranded() const;

    /// Opens `connection` to `endpoint`. Nothing was sent to the endpoint if this fails.
    boost::asio::awaitable<boost::system::error_code> open(endpoint_connection& connection,
                                                           const state::runner_record& endpoint,
                                                           state::milliseconds timeout);
    /// Finds out whether the endpoint's process accepts connections.
    boost::asio::awaitable<endpoint_contact> check(boost::asio::io_context& context,
                                                   const state::runner_record& endpoint);
    /// Returns whether `failed`, of `open`, says nothing of the endpoint.
    [[nodiscard]] static bool is_own_failure(const boost::system::error_code& failed);
    /// Returns whether the end of an answer without a length on `connection` is the endpoint's.
    /// The process of another host ends its tunnels when it ends.
    boost::asio::awaitable<bool> confirm_end(const endpoint_connection& connection,
                                             const state::runner_record& endpoint);
    /// Returns whether another endpoint than `endpoint` is in reach, by the first of up to
    /// `max_probes` that is.
    boost::asio::awaitable<bool> reaches_another(boost::asio::io_context& context,
                                                 const state::endpoint_id& endpoint,
                                                 std::size_t max_probes);
    /// Records that a call lost its connection or got no answer.
    void note_doubt();
    /// Makes the probes that are due. Called regularly.
    boost::asio::awaitable<void> probe(boost::asio::io_context& context);

private:
    boost::asio::awaitable<boost::system::error_code>
    open_directly(endpoint_connection& connection, const state::runner_record& endpoint,
                  state::milliseconds timeout);
    /// The result of the attempts through other hosts.
    struct relayed_open {
        boost::system::error_code failed;
        std::size_t unreachable = 0; ///< hosts in touch that did not reach the endpoint
    };
    boost::asio::awaitable<relayed_open> open_through_relay(endpoint_connection& connection,
                                                            const state::runner_record& endpoint,
                                                            state::time_point deadline);
    /// Probes one endpoint. Returns whether it is in reach.
    boost::asio::awaitable<bool> probe_endpoint(boost::asio::io_context& context,
                                                state::runner_record endpoint, std::size_t known);
    /// Looks for a relay while no call does.
    boost::asio::awaitable<void> search_relay(boost::asio::io_context& context);

    coordination::endpoint_reach& m_reach;
    coordination::relay_choice& m_relays;
    connector_hooks m_hooks;
};

} // namespace savoryrelay::transport
