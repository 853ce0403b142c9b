// Bookings and their counts.
#include "service_standin.h"

#include <boost/json.hpp>

namespace savoryrelay::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::header_of;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_gone = 410;
constexpr std::string_view bookings_path = "/bookings/";
constexpr std::string_view close_suffix = "/close";

} // namespace

service_standin::service_standin(control_switches& switches) : m_switches(switches) {}

asio::awaitable<void> service_standin::handle(transport::http_request request,
                                              transport::response_writer& writer) {
    const std::string target(request.target());
    unsigned status = status_ok;
    json::object answer;
    bool lose_reply = false;
    if (target == "/runs") {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [key, runs] : m_runs) {
            answer[key] = runs;
        }
    } else if (target.starts_with(bookings_path) && target.ends_with(close_suffix)) {
        const auto key = target.substr(bookings_path.size(),
                                       target.size() - bookings_path.size() - close_suffix.size());
        const std::scoped_lock lock(m_mutex);
        m_closed.insert(key);
        answer["ran"] = m_runs.contains(key);
    } else if (target.starts_with(bookings_path)) {
        const auto key = target.substr(bookings_path.size());
        const std::scoped_lock lock(m_mutex);
        status = m_runs.contains(key) ? status_ok : status_not_found;
        answer["ran"] = m_runs.contains(key);
    } else {
        const auto key = header_of(request, "Idempotency-Key");
        const std::scoped_lock lock(m_mutex);
        if (m_closed.contains(key)) {
            status = status_gone;
        } else {
            answer["booking"] = key;
            answer["run"] = ++m_runs[key];
            lose_reply = m_switches.lose_replies > 0;
            m_switches.lose_replies -= lose_reply ? 1 : 0;
        }
    }
    if (lose_reply) {
        writer.abandon();
        co_return;
    }
    const auto body = json::serialize(answer);
    co_await send_json(writer, status, body);
}

} // namespace savoryrelay::standin
