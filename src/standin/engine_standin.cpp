// Implements the token streams, orders and load reports of the engine stand-in.
#include "engine_standin.h"

#include "savoryrelay/protocol/http_api/caller_api.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace savoryrelay::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::header_of;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_not_found = 404;

std::uint64_t parse_number(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string token_event(std::uint64_t number) {
    return "id: " + std::to_string(number) +
           "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" +
           std::to_string(number) + " \"}}]}\n\n";
}

std::string completion_json(const std::string& content) {
    const json::object message{{"role", "assistant"}, {"content", content}};
    const json::array choices{json::object{{"index", 0}, {"message", message}}};
    return json::serialize(json::object{{"choices", choices}});
}

} // namespace

engine_standin::engine_standin(engine_settings settings, control_switches& switches)
    : m_settings(settings), m_switches(switches) {}

asio::awaitable<void> engine_standin::handle(transport::http_request request,
                                             transport::response_writer& writer) {
    const std::string target(request.target());
    if (target == "/v1/chat/completions" || target == "/v1/completions") {
        co_await complete(request, writer);
    } else if (target == "/engine/load") {
        co_await send_json(writer, status_ok, load_report());
    } else if (target == "/engine/orders") {
        co_await apply_order(request, writer);
    } else {
        co_await send_json(writer, status_not_found, "{}");
    }
}

asio::awaitable<void> engine_standin::complete(const transport::http_request& request,
                                               transport::response_writer& writer) {
    const auto body =
        state::collect([&] { return protocol::decode_completion_body(request.body()); });
    if (!body) {
        co_await send_json(writer, status_bad_request, "{}");
        co_return;
    }
    const auto running = ++m_running;
    if (m_completed < m_settings.warm_after) {
        auto peak = m_peak_running_cold.load();
        while (running > peak && !m_peak_running_cold.compare_exchange_weak(peak, running)) {
        }
    }
    if (body.value().stream) {
        co_await stream_tokens(request, parse_number(header_of(request, "Savoryrelay-Resume-From")),
                               body.value().max_tokens, writer);
    } else {
        std::string text;
        for (std::uint64_t i = 0; i < body.value().max_tokens; ++i) {
            text += "t" + std::to_string(i) + " ";
        }
        co_await pause_for(
            state::milliseconds(m_switches.token_ms.load() * body.value().max_tokens));
        auto fields = transport::content_type_field("application/json");
        fields.push_back({"Savoryrelay-Request-Id", header_of(request, "Savoryrelay-Request-Id")});
        const auto answer = completion_json(text);
        co_await writer.send(status_ok, std::move(fields), answer);
        m_tokens += body.value().max_tokens;
    }
    --m_running;
    ++m_completed;
}

asio::awaitable<void> engine_standin::stream_tokens(const transport::http_request& request,
                                                    std::uint64_t from, std::uint64_t tokens,
                                                    transport::response_writer& writer) {
    auto fields = transport::content_type_field("text/event-stream");
    const auto id = header_of(request, "Savoryrelay-Request-Id");
    fields.push_back({"Savoryrelay-Request-Id", m_switches.cross_answers ? id + "-other" : id});
    fields.push_back({"Savoryrelay-Can-Resume", "true"});
    if (co_await writer.start(status_ok, std::move(fields))) {
        co_return;
    }
    const auto break_after = m_switches.break_after_tokens.exchange(0);
    for (std::uint64_t number = from; number < tokens; ++number) {
        if (const auto interval = m_switches.token_ms.load(); interval > 0) {
            co_await pause_for(state::milliseconds(interval));
        }
        if (break_after > 0 && number - from >= break_after) {
            writer.abandon();
            co_return;
        }
        if (m_switches.freeze) {
            co_await pause_for(state::milliseconds(3'600'000));
        }
        const auto event = token_event(number);
        if (co_await writer.write(event)) {
            co_return;
        }
        ++m_tokens;
    }
    co_await writer.write("data: [DONE]\n\n");
    co_await writer.finish();
}

asio::awaitable<void> engine_standin::apply_order(const transport::http_request& request,
                                                  transport::response_writer& writer) {
    unsigned status = status_ok;
    try {
        const auto order = json::parse(request.body()).as_object();
        const auto number = order.at("fencing_number").to_number<std::uint64_t>();
        const std::scoped_lock lock(m_order_mutex);
        if (m_settings.fencing == state::fencing_rule::enforced && number < m_fencing_number) {
            status = status_conflict;
        } else {
            m_fencing_number = std::max(m_fencing_number, number);
            m_target = json::serialize(order.at("target"));
            m_order_key = order.at("order_key").as_string();
        }
    } catch (const std::exception&) {
        status = status_bad_request;
    }
    co_await send_json(writer, status, "{}");
}

std::string engine_standin::load_report() const {
    const std::scoped_lock lock(m_order_mutex);
    return json::serialize(json::object{
        {"running", m_running.load()},
        {"queued", 0},
        {"cold", m_completed < m_settings.warm_after},
        {"peak_running_cold", m_peak_running_cold.load()},
        {"completed", m_completed.load()},
        {"tokens", m_tokens.load()},
        {"fencing_number", m_fencing_number},
        {"order_key", m_order_key},
        {"target", json::parse(m_target)},
    });
}

} // namespace savoryrelay::standin
