// Stand-in for a runner of the platform: accepts orders for groups, reports its state,
// and answers calls as a plain service or as the head of an open group.
#pragma once

#include "standin_server.h"

#include "savoryrelay/state/serving/runner_record.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::standin {

/// One incarnation of one runner. Joining and opening take effect immediately. Like
/// the platform's runners, it has no information about the other members.
class runner_standin {
public:
    runner_standin(control_switches& switches, std::string id, std::uint64_t started_ms);

    /// Serves GET /report, POST /order, GET /runs (number of calls that began to run) and
    /// GET /run_ids (their ids, one a line), GET /requests (number of calls, reports and orders
    /// that were received), GET /streams (number of streams whose caller is
    /// still connected) and GET /orders (received orders and the status of their answers,
    /// oldest first), and handles any other request as a call. A call with a model gets a
    /// stream of `max_events` events; a call without a model gets a short body. A call that the
    /// switches name crashes the process when its body or one of its events is due.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    static constexpr int max_events = 8;

    [[nodiscard]] transport::http_fields answer_fields(std::string type) const;
    boost::asio::awaitable<void> answer(transport::response_writer& writer, unsigned status,
                                        std::string body);
    [[nodiscard]] std::string report();
    [[nodiscard]] std::vector<std::string> run_ids();
    [[nodiscard]] std::string orders();
    [[nodiscard]] unsigned receive_order(const std::string& body);
    [[nodiscard]] unsigned apply_order(const std::string& body); // called with m_mutex locked
    [[nodiscard]] bool crashes_on(const transport::http_request& request) const;
    [[noreturn]] void crash() const;
    boost::asio::awaitable<void> stream(const transport::http_request& request,
                                        transport::response_writer& writer);

    control_switches& m_switches;
    const std::string m_id;
    const std::uint64_t m_started_ms;
    std::mutex m_mutex;
    state::runner_record m_record;      // guarded by m_mutex
    std::vector<std::string> m_run_ids; // of calls that began; guarded by m_mutex
    std::vector<std::pair<std::string, unsigned>> m_orders; // guarded by m_mutex
    std::atomic<int> m_requests{0};                         // calls, reports and orders received
    std::atomic<int> m_streams{0}; // streams whose caller is still connected
};

} // namespace savoryrelay::standin
