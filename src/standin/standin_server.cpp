// Implements the control path and the faults that every role supports.
#include "standin_server.h"

#include "process_crash.h"

namespace savoryrelay::standin {

namespace asio = boost::asio;

namespace {

constexpr state::milliseconds freeze_duration{3'600'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;

asio::awaitable<void> answer_control(const transport::http_request& request,
                                     transport::response_writer& writer,
                                     control_switches& switches) {
    const auto applied = state::collect([&] { return apply_control(request.body(), switches); });
    co_await send_json(writer, applied ? status_ok : status_bad_request,
                       applied ? "{}" : "{\"error\":\"unknown switch or value\"}");
    if (switches.reset_connections.exchange(false)) {
        reset_connections();
    }
}

} // namespace

asio::awaitable<void> send_json(transport::response_writer& writer, unsigned status,
                                std::string body) {
    auto fields = transport::content_type_field("application/json");
    co_await writer.send(status, std::move(fields), body);
}

transport::request_handler with_control(control_switches& switches,
                                        transport::request_handler role_handler,
                                        answer_fields_hook refusal_fields) {
    return [&switches, role_handler = std::move(role_handler),
            refusal_fields = std::move(refusal_fields)](
               transport::http_request request,
               transport::response_writer& writer) -> asio::awaitable<void> {
        if (request.target() == "/control") {
            co_await answer_control(request, writer, switches);
            co_return;
        }

        // Apply the faults that precede any effect of the request.
        if (switches.freeze) {
            co_await pause_for(freeze_duration);
        }
        if (switches.down) {
            writer.abandon();
            co_return;
        }
        if (switches.refuse) {
            auto fields = transport::content_type_field("application/json");
            fields.push_back({"Savoryrelay-Outcome", "not-run"});
            if (refusal_fields) {
                for (auto& field : refusal_fields()) {
                    fields.push_back(std::move(field));
                }
            }
            co_await writer.send(status_unavailable, std::move(fields), "{}");
            co_return;
        }
        if (const auto delay = switches.delay_ms.load(); delay > 0) {
            co_await pause_for(state::milliseconds(delay));
        }
        co_await role_handler(std::move(request), writer);
    };
}

} // namespace savoryrelay::standin
