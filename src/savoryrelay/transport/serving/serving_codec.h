// How the serving front reads and writes the header fields of its dialect.
#pragma once

#include "savoryrelay/state/serving/serving_call.h"
#include "savoryrelay/transport/http/http_message.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// What is added to a request on its way to an endpoint.
struct endpoint_call {
    state::endpoint_id endpoint; ///< any other one must refuse the request
    std::string customer;        ///< empty: none
    std::optional<state::milliseconds> time_left;
    std::optional<std::uint64_t> last_event; ///< the stream goes on after this event
};

/// Hooks of one dialect of HTTP.
struct serving_codec {
    std::function<state::serving_call(const http_request&)> decode_call;
    std::function<http_request(const http_request&, const endpoint_call&)> make_endpoint_request;
    std::function<state::answer_head(unsigned status, const http_fields&)> decode_answer;
    std::function<http_fields(const http_fields&)> caller_fields;
    std::function<http_field(state::milliseconds)> come_back_after;
    std::function<http_field(const state::request_id&)> request_id_field;
};

} // namespace savoryrelay::transport
