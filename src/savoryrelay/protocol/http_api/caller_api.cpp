// Parses requests with a limit on the JSON nesting depth, and writes answers.
#include "savoryrelay/protocol/http_api/caller_api.h"

#include <boost/json.hpp>

#include <algorithm>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;
using state::failure_kind;

constexpr std::size_t max_json_depth = 32;
constexpr std::int64_t max_tokens_limit = 1'000'000;

boost::leaf::error_id invalid(const std::string& detail) {
    return state::fail(failure_kind::invalid_request, detail);
}

std::string join_messages(const json::array& messages) {
    std::string prompt;
    for (const auto& each : messages) {
        const auto* message = each.if_object();
        const auto* content = message == nullptr ? nullptr : message->if_contains("content");
        if (content != nullptr && content->is_string()) {
            prompt.append(content->get_string()).push_back('\n');
        }
    }
    return prompt;
}

} // namespace

state::result<completion_body> decode_completion_body(const std::string& text) {
    json::parse_options options;
    options.max_depth = max_json_depth;
    boost::system::error_code parse_error;
    const auto value = json::parse(text, parse_error, {}, options);
    if (parse_error || !value.is_object()) {
        return invalid("the body is not a JSON object");
    }
    const auto& object = value.get_object();

    completion_body body;
    const auto* model = object.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty()) {
        return invalid("'model' must be a non-empty string");
    }
    body.model = model->get_string();
    if (const auto* stream = object.if_contains("stream")) {
        if (!stream->is_bool()) {
            return invalid("'stream' must be true or false");
        }
        body.stream = stream->get_bool();
    }
    if (const auto* tokens = object.if_contains("max_tokens")) {
        if (!tokens->is_int64() || tokens->get_int64() < 1 ||
            tokens->get_int64() > max_tokens_limit) {
            return invalid("'max_tokens' must be an integer from 1 to 1000000");
        }
        body.max_tokens = static_cast<std::uint32_t>(tokens->get_int64());
    }
    const auto* messages = object.if_contains("messages");
    const auto* prompt = object.if_contains("prompt");
    if (messages != nullptr && messages->is_array()) {
        body.prompt = join_messages(messages->get_array());
    } else if (prompt != nullptr && prompt->is_string()) {
        body.prompt = prompt->get_string();
    } else {
        return invalid("'messages' must be an array or 'prompt' a string");
    }
    return body;
}

std::string encode_refusal(const state::failure& error, const state::request_id& request) {
    json::object body;
    body["error"] = json::object{
        {"kind", state::properties_of(error.kind).name},
        {"message", error.message()},
        {"remedy", state::properties_of(error.kind).remedy},
        {"outcome", state::to_name(error.reported_outcome())},
        {"request_id", request.value()},
    };
    return json::serialize(body);
}

std::string encode_models(const state::configuration& configuration,
                          const state::customer_id& customer) {
    json::array models;
    for (const auto& deployment : configuration.deployments) {
        const auto& allowed = deployment.customers;
        const bool may_use =
            allowed.empty() || std::find(allowed.begin(), allowed.end(), customer) != allowed.end();
        if (deployment.kind == state::deployment_kind::model && may_use) {
            models.push_back(json::object{
                {"id", deployment.model}, {"object", "model"}, {"version", deployment.version}});
        }
    }
    return json::serialize(json::object{{"object", "list"}, {"data", models}});
}

} // namespace savoryrelay::protocol
