// Parses and applies control messages.
#include "standin_control.h"

#include <boost/json.hpp>

#include <cstdlib>
#include <functional>
#include <map>

namespace savoryrelay::standin {

state::result<void> apply_control(const std::string& text, control_switches& switches) {
    namespace json = boost::json;
    using setter = std::function<void(const json::value&)>;
    const auto flag = [](std::atomic<bool>& target) {
        return setter([&target](const json::value& value) { target = value.as_bool(); });
    };
    const auto number = [](std::atomic<std::uint32_t>& target) {
        return setter(
            [&target](const json::value& value) { target = value.to_number<std::uint32_t>(); });
    };
    const auto text_value = [](state::snapshot_cell<std::string>& target) {
        return setter([&target](const json::value& value) {
            target.replace_if(std::string(value.as_string()),
                              [](const auto&, const auto&) { return true; });
        });
    };
    const std::map<std::string, setter, std::less<>> setters{
        {"down", flag(switches.down)},
        {"refuse", flag(switches.refuse)},
        {"freeze", flag(switches.freeze)},
        {"delay_ms", number(switches.delay_ms)},
        {"lose_replies", number(switches.lose_replies)},
        {"break_after_tokens", number(switches.break_after_tokens)},
        {"token_ms", number(switches.token_ms)},
        {"drop_reports_and_orders", flag(switches.drop_reports_and_orders)},
        {"refuse_calls", flag(switches.refuse_calls)},
        {"leaving", flag(switches.leaving)},
        {"pause_calls", text_value(switches.pause_calls)},
        {"call_limit", text_value(switches.call_limit)},
        {"cross_answers", flag(switches.cross_answers)},
        {"reset_connections", flag(switches.reset_connections)},
        {"crash_on_part", text_value(switches.crash_on_part)},
        {"crash_after_events", number(switches.crash_after_events)},
        {"crash_closes", flag(switches.crash_closes)},
        {"crash_on_body", text_value(switches.crash_on_body)},
        {"die", [](const json::value&) { std::_Exit(EXIT_FAILURE); }},
    };
    try {
        const auto object = json::parse(text).as_object();
        for (const auto& [name, value] : object) {
            const auto found = setters.find(std::string_view(name.data(), name.size()));
            if (found == setters.end()) {
                return state::fail(state::failure_kind::invalid_request,
                                   "unknown switch " + std::string(name));
            }
            found->second(value);
        }
    } catch (const std::exception& error) {
        return state::fail(state::failure_kind::invalid_request, error.what());
    }
    return {};
}

} // namespace savoryrelay::standin
