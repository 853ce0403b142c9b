// One call on its way through the serving front. For its sources alone.
#pragma once

#include "savoryrelay/protocol/event_stream/event_splitter.h"
#include "savoryrelay/transport/serving/serving_front.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savoryrelay::transport {

/// Time from `now` to `deadline`; negative when it is over.
inline state::milliseconds until(state::time_point deadline, state::time_point now) {
    return std::chrono::duration_cast<state::milliseconds>(deadline - now);
}

/// One call on its way.
struct serving_front::call_state {
    call_state(http_request received, response_writer& answer)
        : request(std::move(received)), writer(answer) {}

    http_request request;
    response_writer& writer;
    state::serving_call call;
    std::shared_ptr<const state::serving_configuration> configuration;
    const state::route_rule* route = nullptr;
    const state::service_rule* service = nullptr;
    std::string customer;
    state::time_point arrived{};
    state::time_point deadline{};
    bool caller_is_gone = false;
    std::unique_ptr<endpoint_connection> connection; // of the attempt under way
    protocol::event_splitter events;
    bool has_events = false;                 // events have been sent to the caller
    std::optional<std::uint64_t> last_event; // sent to the caller
    std::set<state::endpoint_id> tried;
    std::uint32_t attempts = 0;
    coordination::call_outcome outcome = coordination::call_outcome::delivered;
    // For the log.
    unsigned status = 0;
    std::string reason;
    std::string endpoint;
    std::optional<state::time_point> first_byte;
    double predicted_ms = 0;
};

/// How one attempt ended.
struct serving_front::attempt_end {
    coordination::attempt_outcome outcome = coordination::attempt_outcome::lost;
    bool endpoint_ended = false;
    std::string reason;
    // A whole answer that says failure, to be passed on when nothing better comes.
    unsigned status = 0;
    http_fields fields;
    std::string body;
};

} // namespace savoryrelay::transport
