// Stand-in of a plain service whose bookings may not be repeated. It counts
// how often each booking ran, by the caller's idempotency key.
#pragma once

#include "standin_server.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace savoryrelay::standin {

/// Bookings of one service. It does not recognise a repeated key, so that a
/// second run shows in the count.
class service_standin {
public:
    explicit service_standin(control_switches& switches);

    /// POST /book books; GET /bookings/KEY reads back; POST /bookings/KEY/close
    /// keeps a late booking from running; GET /runs lists runs by key.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    control_switches& m_switches;
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_runs; // guarded by m_mutex, runs by key
    std::set<std::string> m_closed;              // guarded by m_mutex, keys that may not run
};

} // namespace savoryrelay::standin
