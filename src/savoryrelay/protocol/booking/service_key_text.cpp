// Decodes a service's report about one service key.
#include "savoryrelay/protocol/booking/service_key_text.h"

#include <boost/json.hpp>

namespace savoryrelay::protocol {

namespace json = boost::json;

state::result<service_key_message> decode_service_key_message(const std::string& text) {
    try {
        const auto fields = json::parse(text).as_object();
        service_key_message message;
        message.state = json::value_to<std::string>(fields.at("state"));
        if (message.state == "ran") {
            message.answer.status = fields.at("status").to_number<int>();
            message.answer.content_type = json::value_to<std::string>(fields.at("content_type"));
            message.answer.body = json::value_to<std::string>(fields.at("body"));
        }
        return message;
    } catch (const std::exception& error) {
        return state::fail(state::failure_kind::message_damaged,
                           std::string("service key report: ") + error.what());
    }
}

} // namespace savoryrelay::protocol
