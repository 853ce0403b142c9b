// Stand-in of a plain service whose bookings may not be repeated. It counts
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

/// Bookings of one service. It does not recognise a repeated key, so that a
/// second run shows in the count.
class service_standin {
public:
    explicit service_standin(control_switches& switches);

    /// POST /book books; GET /bookings/KEY reads back; POST /bookings/KEY/close
    /// keeps a late booking from running; GET /runs lists runs by key. A key is
    /// described by `state` ("ran" or "closed") and the first answer's `status`,
    /// `content_type` and `body`; a key that was never seen gives 404.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    /// What is known of `key`, empty when nothing is. Requires `m_mutex`.
    [[nodiscard]] boost::json::object describe(const std::string& key) const;

    control_switches& m_switches;
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_runs;  // guarded by m_mutex, runs by key
    std::map<std::string, std::string> m_answers; // guarded by m_mutex, first answers by key
    std::set<std::string> m_closed;               // guarded by m_mutex, keys that may not run
};

} // namespace savoryrelay::standin
