// Stand-in of a runner of the platform: takes orders for groups, reports, and
// answers calls as a plain service or as the head of an open group.
#pragma once

#include "standin_server.h"

#include "savoryrelay/state/serving/runner_record.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace savoryrelay::standin {

/// One life of one runner. Joining and opening are immediate; it knows nothing
/// of the other members, as the platform's runners do not.
class runner_standin {
public:
    runner_standin(control_switches& switches, std::string id, std::uint64_t started_ms);

    /// GET /report, POST /order, GET /runs (calls that began to run), and any
    /// other request as a call. A call with a model is answered by a stream of
    /// `max_events` events, one without by a short body.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    static constexpr int max_events = 8;

    [[nodiscard]] std::string report();
    [[nodiscard]] unsigned take_order(const std::string& body);
    boost::asio::awaitable<void> stream(const transport::http_request& request,
                                        transport::response_writer& writer);

    control_switches& m_switches;
    const std::string m_id;
    const std::uint64_t m_born_ms;
    std::mutex m_mutex;
    state::runner_record m_record; // guarded by m_mutex
    std::uint64_t m_runs = 0;      // guarded by m_mutex
};

} // namespace savoryrelay::standin
