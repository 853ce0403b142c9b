// Implements the orders, reports and answers of the runner stand-in.
#include "runner_standin.h"

#include "process_crash.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace savoryrelay::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using state::membership_state;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_misdirected_request = 421;
constexpr unsigned status_unavailable = 503;

// Returns whether `part` is in a list of ID:TOKENS entries, other than as the last one.
bool has_shared_part(std::string_view prefix, std::string_view part) {
    auto comma = prefix.find(',');
    while (comma != std::string_view::npos) {
        const auto entry = prefix.substr(0, comma);
        if (entry.substr(0, entry.find(':')) == part) {
            return true;
        }
        prefix.remove_prefix(comma + 1);
        comma = prefix.find(',');
    }
    return false;
}

} // namespace

runner_standin::runner_standin(control_switches& switches, std::string id, std::uint64_t started_ms)
    : m_switches(switches), m_id(std::move(id)), m_started_ms(started_ms) {}

transport::http_fields runner_standin::answer_fields(std::string type) const {
    auto fields = transport::content_type_field(std::move(type));
    if (m_switches.leaving) {
        fields.push_back({"Server-Leaving", "1"});
    }
    if (const auto limit = m_switches.call_limit.load(); !limit->empty()) {
        fields.push_back({"Server-Limit", *limit});
    }
    return fields;
}

asio::awaitable<void> runner_standin::answer(transport::response_writer& writer, unsigned status,
                                             std::string body) {
    auto fields = answer_fields("application/json");
    co_await writer.send(status, std::move(fields), body);
}

std::string runner_standin::report() {
    const std::scoped_lock lock(m_mutex);
    json::object object;
    object["born"] = m_started_ms;
    object["sequence"] = m_record.sequence;
    object["busy"] = false;
    object["pace"] = 1.0;
    json::array models;
    if (!m_record.model.empty()) {
        models.push_back(json::object{{"name", m_record.model}, {"version", 1}});
    }
    object["models"] = std::move(models);
    json::array staged;
    for (const auto& model : m_record.staged) {
        staged.emplace_back(model);
    }
    object["staged"] = std::move(staged);
    if (m_record.membership) {
        const auto& membership = *m_record.membership;
        object["group"] = json::object{{"name", membership.group},
                                       {"epoch", membership.epoch},
                                       {"rank", membership.rank},
                                       {"state", std::string(state::to_name(membership.state))}};
    } else {
        object["group"] = nullptr;
    }
    return json::serialize(object);
}

std::string runner_standin::orders() {
    const std::scoped_lock lock(m_mutex);
    json::array all;
    for (const auto& [body, status] : m_orders) {
        auto order = json::parse(body).as_object();
        order["status"] = status;
        all.push_back(std::move(order));
    }
    return json::serialize(all);
}

unsigned runner_standin::receive_order(const std::string& body) {
    const std::scoped_lock lock(m_mutex);
    const auto status = apply_order(body);
    m_orders.emplace_back(body, status);
    return status;
}

unsigned runner_standin::apply_order(const std::string& body) {
    const auto order = json::parse(body).as_object();
    if (order.at("expected_rev").to_number<std::uint64_t>() != m_record.sequence) {
        return status_conflict;
    }
    const auto operation = std::string(order.at("operation").as_string());
    if (operation == "stage") {
        m_record.staged = {std::string(order.at("model").as_string())};
        ++m_record.sequence;
        return status_accepted;
    }
    const auto group = std::string(order.at("group").as_string());
    const auto epoch = order.at("epoch").to_number<std::uint64_t>();
    if (operation == "join") {
        if (m_record.membership && epoch < m_record.membership->epoch) {
            return status_precondition_failed;
        }
        const auto& members = order.at("members").as_array();
        const auto position = std::find_if(members.begin(), members.end(), [&](const auto& member) {
            return member.as_string() == m_id;
        });
        m_record.model = std::string(order.at("model").as_string());
        m_record.staged = {m_record.model};
        m_record.membership = state::group_membership{
            group, epoch, static_cast<std::uint32_t>(position - members.begin()),
            membership_state::ready};
        ++m_record.sequence;
        return status_accepted;
    }
    if (!m_record.membership || m_record.membership->group != group ||
        m_record.membership->epoch != epoch) {
        return status_conflict;
    }
    ++m_record.sequence;
    if (operation == "open") {
        m_record.membership->state = membership_state::open;
        return status_accepted;
    }
    if (operation == "close") {
        m_record.membership->state = membership_state::ready;
        return status_accepted;
    }
    m_record.membership.reset(); // leave, which takes effect at once
    return status_ok;
}

std::vector<std::string> runner_standin::run_ids() {
    const std::scoped_lock lock(m_mutex);
    return m_run_ids;
}

bool runner_standin::crashes_on(const transport::http_request& request) const {
    const auto part = m_switches.crash_on_part.load();
    const auto body = m_switches.crash_on_body.load();
    return (!part->empty() &&
            has_shared_part(transport::header_of(request, "Prompt-Prefix"), *part)) ||
           (!body->empty() && request.body() == *body);
}

void runner_standin::crash() const {
    if (m_switches.crash_closes) {
        std::_Exit(EXIT_FAILURE);
    }
    crash_process();
}

asio::awaitable<void> runner_standin::stream(const transport::http_request& request,
                                             transport::response_writer& writer) {
    auto fields = answer_fields("text/event-stream");
    fields.push_back({"Attempt-Id", transport::header_of(request, "Attempt-Id")});
    fields.push_back({"Server-Seal", m_id});
    if (co_await writer.start(status_ok, std::move(fields))) {
        co_return;
    }
    const auto last_event = transport::header_of(request, "Last-Event-Id");
    const int first_event = last_event.empty() ? 0 : std::stoi(last_event) + 1;
    for (int event = first_event; event < max_events; ++event) {
        co_await pause_for(state::milliseconds(m_switches.token_ms));
        const auto events_sent = static_cast<std::uint32_t>(event - first_event);
        if (crashes_on(request) && events_sent >= m_switches.crash_after_events) {
            crash();
        }
        if (const auto limit = m_switches.break_after_tokens.load();
            limit > 0 && event >= static_cast<int>(limit)) {
            m_switches.break_after_tokens = 0;
            writer.abandon();
            co_return;
        }
        const auto text = "id: " + std::to_string(event) + "\ndata: " + m_id + "\n\n";
        if (co_await writer.write(text)) {
            co_return;
        }
    }
    co_await writer.finish();
}

asio::awaitable<void> runner_standin::handle(transport::http_request request,
                                             transport::response_writer& writer) {
    const auto expected = transport::header_of(request, "Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        co_await answer(writer, status_misdirected_request, "{}");
        co_return;
    }
    const bool is_control = request.target() == "/report" || request.target() == "/order";
    if (is_control && m_switches.drop_reports_and_orders) {
        writer.abandon();
        co_return;
    }
    m_requests += is_control ? 1 : 0;
    if (request.target() == "/report") {
        co_await answer(writer, status_ok, report());
        co_return;
    }
    if (request.target() == "/order") {
        co_await answer(writer, receive_order(request.body()), "");
        co_return;
    }
    if (request.target() == "/orders") {
        co_await send_json(writer, status_ok, orders());
        co_return;
    }
    if (request.target() == "/runs") {
        co_await send_json(writer, status_ok, std::to_string(run_ids().size()));
        co_return;
    }
    if (request.target() == "/run_ids") {
        std::string lines;
        for (const auto& id : run_ids()) {
            lines += id + "\n";
        }
        co_await writer.send(status_ok, transport::content_type_field("text/plain"), lines);
        co_return;
    }
    if (request.target() == "/streams") {
        co_await send_json(writer, status_ok, std::to_string(m_streams));
        co_return;
    }
    if (request.target() == "/requests") {
        co_await send_json(writer, status_ok, std::to_string(m_requests));
        co_return;
    }
    ++m_requests;
    if (const auto pause = m_switches.pause_calls.load(); !pause->empty()) {
        auto fields = answer_fields("application/json");
        fields.push_back({"Attempt-Id", transport::header_of(request, "Attempt-Id")});
        fields.push_back({"Not-Executed", "1"});
        fields.push_back({"Retry-After", *pause});
        co_await writer.send(status_unavailable, std::move(fields), "{}");
        co_return;
    }
    bool is_head = true;
    const bool needs_model = !transport::header_of(request, "Model").empty();
    {
        const std::scoped_lock lock(m_mutex);
        is_head = !needs_model || (m_record.is_open_head() && !m_switches.refuse_calls);
        if (is_head) {
            m_run_ids.push_back(transport::header_of(request, "Attempt-Id"));
        }
    }
    if (!is_head) {
        co_await answer(writer, status_misdirected_request, "{}");
        co_return;
    }
    if (needs_model) {
        bool is_connected = true;
        const auto disconnect = [&] { m_streams -= std::exchange(is_connected, false) ? 1 : 0; };
        ++m_streams;
        writer.on_caller_gone(disconnect);
        co_await stream(request, writer);
        writer.on_caller_gone(nullptr);
        disconnect();
        co_return;
    }
    if (crashes_on(request)) {
        crash();
    }
    if (m_switches.lose_replies > 0) {
        --m_switches.lose_replies;
        writer.abandon();
        co_return;
    }
    auto fields = answer_fields("text/plain");
    fields.push_back({"Attempt-Id", transport::header_of(request, "Attempt-Id")});
    fields.push_back({"Server-Seal", m_id});
    fields.push_back({"Seen-Customer", transport::header_of(request, "Tenant")});
    const auto body = "ran by " + m_id + " for " + transport::header_of(request, "Tenant");
    co_await writer.send(status_ok, std::move(fields), body);
}

} // namespace savoryrelay::standin
