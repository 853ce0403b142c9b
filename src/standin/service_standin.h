// Stand-in for a plain service whose bookings must not be repeated. It counts
// how often each booking ran, by the caller's idempotency key.
#pragma once

#include "standin_server.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace savoryrelay::standin {

/// Holds the bookings of one service. It runs a booking with a repeated key again, so
/// that the count shows the second run.
class service_standin {
public:
    explicit service_standin(control_switches& switches);

    /// POST /book and any path not listed here make a booking, GET /bookings/KEY describes it,
    /// POST /bookings/KEY/close prevents a late booking from running, and GET /runs
    /// lists the number of runs by key. The description of a booking has `state`
    /// ("ran" or "closed") and, after a run, the `status`, `content_type` and `body` of
    /// the first answer. An unknown key gives 404.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    /// Describes the booking of `key`; empty if the key is unknown. The caller must hold
    /// `m_mutex`.
    [[nodiscard]] boost::json::object describe(const std::string& key) const;

    control_switches& m_switches;
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_runs;  // guarded by m_mutex, runs by key
    std::map<std::string, std::string> m_answers; // guarded by m_mutex, first answers by key
    std::set<std::string> m_closed;               // guarded by m_mutex, keys that may not run
};

} // namespace savoryrelay::standin
