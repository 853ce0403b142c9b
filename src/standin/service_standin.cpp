// Implements the bookings and run counts of the service stand-in.
#include "service_standin.h"

#include <boost/json.hpp>
#include <boost/url/pct_string_view.hpp>

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

/// Decodes a percent-encoded path segment. Returns an empty string when the encoding
/// is invalid.
std::string decode_segment(const std::string& segment) {
    const auto text = boost::urls::make_pct_string_view(segment);
    return text.has_error() ? std::string{} : text->decode();
}

} // namespace

service_standin::service_standin(control_switches& switches) : m_switches(switches) {}

json::object service_standin::describe(const std::string& key) const {
    json::object description;
    if (const auto found = m_answers.find(key); found != m_answers.end()) {
        description["state"] = "ran";
        description["status"] = status_ok;
        description["content_type"] = "application/json";
        description["body"] = found->second;
    } else if (m_closed.contains(key)) {
        description["state"] = "closed";
    }
    return description;
}

asio::awaitable<void> service_standin::handle(transport::http_request request,
                                              transport::response_writer& writer) {
    const std::string target(request.target());
    unsigned status = status_ok;
    json::object answer;
    bool lose_reply = false;
    bool is_closed = false;
    if (target == "/runs") {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [key, runs] : m_runs) {
            answer[key] = runs;
        }
    } else if (target.starts_with(bookings_path)) {
        const auto path = target.substr(bookings_path.size());
        const bool is_close = path.ends_with(close_suffix);
        const auto key =
            decode_segment(is_close ? path.substr(0, path.size() - close_suffix.size()) : path);
        const std::scoped_lock lock(m_mutex);
        if (is_close && !m_answers.contains(key)) {
            m_closed.insert(key);
        }
        answer = describe(key);
        status = answer.empty() ? status_not_found : status_ok;
    } else {
        const auto key = header_of(request, "Idempotency-Key");
        const std::scoped_lock lock(m_mutex);
        if (m_closed.contains(key)) {
            is_closed = true;
        } else {
            answer["booking"] = key;
            answer["run"] = ++m_runs[key];
            m_answers.try_emplace(key, json::serialize(answer));
            lose_reply = m_switches.lose_replies > 0;
            m_switches.lose_replies -= lose_reply ? 1 : 0;
        }
    }
    if (is_closed) {
        auto fields = transport::content_type_field("application/json");
        fields.push_back({"Savoryrelay-Outcome", "not-run"});
        co_await writer.send(status_gone, std::move(fields), "{}");
        co_return;
    }
    if (lose_reply) {
        writer.abandon();
        co_return;
    }
    const auto body = json::serialize(answer);
    co_await send_json(writer, status, body);
}

} // namespace savoryrelay::standin
