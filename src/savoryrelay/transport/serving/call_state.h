// State of one call and of one attempt in the serving front. Included only by
// the front's own sources.
#pragma once

#include "savoryrelay/protocol/event_stream/event_splitter.h"
#include "savoryrelay/transport/serving/serving_front.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::transport {

/// Returns the time from `now` to `deadline`; negative after the deadline.
inline state::milliseconds time_until(state::time_point deadline, state::time_point now) {
    return std::chrono::duration_cast<state::milliseconds>(deadline - now);
}

/// State of a call while the front serves it.
struct serving_front::call_state {
    call_state(http_request received, response_writer& answer)
        : request(std::move(received)), writer(answer) {}

    http_request request;
    response_writer& writer;
    state::serving_call decoded; // values decoded from `request`
    std::shared_ptr<const state::serving_configuration> configuration;
    const state::route_rule* route = nullptr;
    const state::service_rule* service = nullptr;
    std::string customer;
    std::vector<coordination::request_fingerprint> fingerprints;
    state::time_point arrived{};
    state::time_point deadline{};
    bool caller_is_gone = false;
    std::unique_ptr<endpoint_connection> connection; // of the current attempt
    protocol::event_splitter events;
    bool has_relayed_events = false;         // true after an event was sent to the caller
    std::optional<std::uint64_t> last_event; // number of the last event sent to the caller
    std::set<state::endpoint_id> tried;
    coordination::call_progress* progress = nullptr; // set while attempts run
    /// Selected before the current attempt was given up.
    std::optional<coordination::selected_endpoint> next_endpoint;
    std::uint32_t attempts = 0;
    coordination::call_outcome outcome = coordination::call_outcome::delivered;
    // Reported in the log line and the metrics when the call ends.
    unsigned status = 0;
    std::string reason;
    std::string endpoint;
    std::optional<state::time_point> first_byte;
    double predicted_ms = 0;
};

/// Result of one attempt.
struct serving_front::attempt_result {
    coordination::attempt_outcome outcome = coordination::attempt_outcome::lost;
    bool endpoint_ended = false;     // the connection was reset: the endpoint's process has ended
    bool closed_by_endpoint = false; // the connection ended before the answer was complete
    bool has_request_id = true;      // false: the endpoint rejected the request without its id
    std::string reason;
    // A complete answer that reports a failure. The caller receives it if no later
    // attempt succeeds.
    unsigned status = 0;
    http_fields fields;
    std::string body;
};

} // namespace savoryrelay::transport
