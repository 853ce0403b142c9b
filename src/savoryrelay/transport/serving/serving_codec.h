// Hooks with which the serving front reads and writes the header fields of the
// platform's HTTP interface.
#pragma once

#include "savoryrelay/state/serving/serving_call.h"
#include "savoryrelay/transport/http/http_message.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// Values that the front adds to a request before it sends it to an endpoint.
struct endpoint_request_values {
    state::endpoint_id endpoint; ///< the only endpoint that may run the request
    std::string customer;        ///< empty if the call has no customer
    std::optional<state::milliseconds> time_left;
    std::optional<std::uint64_t> last_event; ///< the stream must resume after this event
    /// Order in which the endpoint begins the requests that wait there; empty: its usual one.
    std::optional<state::call_urgency> urgency;
};

/// Encoding and decoding of the header fields of one HTTP interface.
struct serving_codec {
    std::function<state::serving_call(const http_request&)> decode_call;
    std::function<http_request(const http_request&, const endpoint_request_values&)>
        make_endpoint_request;
    std::function<state::answer_head(unsigned status, const http_fields&)> decode_answer;
    std::function<http_fields(const http_fields&)> select_caller_fields;
    std::function<http_field(state::milliseconds)> retry_after_field;
    std::function<http_field(const state::request_id&)> request_id_field;
};

} // namespace savoryrelay::transport
