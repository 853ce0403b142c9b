// State of one call and of one attempt in the serving front. Included only by
// the front's own sources.
#pragma once

#include "savoryrelay/coordination/serving/stream_timing.h"
#include "savoryrelay/protocol/event_stream/event_splitter.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/transport/serving/serving_front.h"

#include <boost/asio/error.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::transport {

/// Where the connection of an attempt comes from.
enum class connection_origin {
    none,   ///< the attempt has none
    opened, ///< opened for the attempt
    reused, ///< it has carried other requests
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::connection_origin> {
    using o = savoryrelay::transport::connection_origin;
    static constexpr std::array rows{
        enum_name<o>{o::none, "none"},
        enum_name<o>{o::opened, "opened"},
        enum_name<o>{o::reused, "reused"},
    };
};

namespace savoryrelay::transport {

/// Returns the time from `now` to `deadline`; negative after the deadline.
inline state::milliseconds time_until(state::time_point deadline, state::time_point now) {
    return std::chrono::duration_cast<state::milliseconds>(deadline - now);
}

/// Counts a call as load of its endpoint from the construction to the destruction.
class counted_call {
public:
    /// `is_writing` is read at the destruction.
    counted_call(coordination::load_tracker& loads, const state::endpoint_id& endpoint,
                 double prompt_tokens, const bool& is_writing)
        : m_loads(loads), m_endpoint(endpoint), m_prompt_tokens(prompt_tokens),
          m_is_writing(is_writing) {
        m_loads.begin_call(m_endpoint, m_prompt_tokens);
    }
    ~counted_call() { m_loads.end_call(m_endpoint, m_prompt_tokens, m_is_writing); }
    counted_call(const counted_call&) = delete;
    counted_call& operator=(const counted_call&) = delete;

private:
    coordination::load_tracker& m_loads;
    const state::endpoint_id& m_endpoint;
    double m_prompt_tokens;
    const bool& m_is_writing;
};

/// An attempt whose request was sent or is about to be. Not movable, because the counted
/// call refers to it.
struct serving_front::open_attempt {
    explicit open_attempt(coordination::selected_endpoint selected) : chosen(std::move(selected)) {}

    coordination::selected_endpoint chosen;
    std::unique_ptr<endpoint_connection> connection;
    connection_origin origin = connection_origin::none;
    bool is_writing = false;             // true after the first event was received
    std::optional<counted_call> counted; // set while the endpoint may work on the call
    state::time_point sent_at{};
    bool has_header = false;              // the header of a stream was read
    bool is_continued = false;            // the answer begins after an event that the caller has
    protocol::event_splitter kept_events; // the call's splitter while the attempt is kept
};

/// State of a call while the front serves it.
struct serving_front::call_state {
    call_state(http_request received, response_writer& answer)
        : request(std::move(received)), writer(answer) {}

    http_request request;
    response_writer& writer;
    state::serving_call decoded; // values decoded from `request`
    state::snapshot<state::serving_configuration> configuration;
    const state::route_rule* route = nullptr;
    const state::service_rule* service = nullptr;
    const state::model_rule* model = nullptr; // null: the call needs no model
    std::string customer;
    std::optional<std::uint32_t> customer_priority; // overrides that of the route
    std::vector<coordination::request_fingerprint> fingerprints;
    state::time_point arrived{};
    state::time_point deadline{};
    bool caller_is_gone = false;
    std::unique_ptr<open_attempt> current;
    /// Attempts at silent endpoints, which are kept until another endpoint sends an event.
    std::vector<std::unique_ptr<open_attempt>> kept;
    protocol::event_splitter events;
    bool is_work_reported = false; // the model's work includes the call
    bool is_ranked = false;        // admission decides on the call; implies that it needs a model
    bool is_admitted = false;
    std::optional<std::uint64_t> last_event; // number of the last event sent to the caller
    /// When the stream was interrupted after its last event; empty while it runs.
    std::optional<state::time_point> interrupted_at;
    std::set<state::endpoint_id> tried;
    /// Endpoints that closed the connection while they answered. They count towards the
    /// attempts of the call, unless their processes have ended.
    std::vector<state::runner_record> broke_off;
    /// Endpoints that closed the connections of kept attempts, which were then given up.
    std::vector<state::runner_record> closed_while_kept;
    std::set<state::endpoint_id> may_have_run_at;    // those of `tried` that did not refuse
    coordination::call_progress* progress = nullptr; // set while attempts run
    /// Selected before the call turned away from the current attempt.
    std::optional<coordination::selected_endpoint> next_endpoint;
    std::uint32_t attempts = 0;
    coordination::call_outcome outcome = coordination::call_outcome::delivered;
    // Reported in the log line and the metrics when the call ends.
    unsigned status = 0;
    std::string reason;
    std::string endpoint;
    std::optional<state::time_point> first_byte;
    coordination::stream_timing timing;
    double predicted_ms = 0;

    void close_connections() {
        if (current != nullptr && current->connection != nullptr) {
            current->connection->close();
        }
        for (const auto& attempt : kept) {
            attempt->connection->close();
        }
    }
};

/// Result of one attempt.
struct serving_front::attempt_result {
    coordination::attempt_outcome outcome = coordination::attempt_outcome::lost;
    bool is_kept = false;            // the endpoint is silent; the attempt has not ended
    bool is_withdrawn = false;       // not sent, because the endpoint wants no calls
    bool endpoint_ended = false;     // the connection was reset: the endpoint's process has ended
    bool closed_by_endpoint = false; // the connection ended before the answer was complete
    bool has_request_id = true;      // false: the endpoint rejected the request without its id
    bool is_other_endpoint = false;  // the endpoint says that it is not the one that was meant
    std::string reason;
    // A complete answer that reports a failure. The caller receives it if no later
    // attempt succeeds.
    unsigned status = 0;
    http_fields fields;
    std::string body;

    /// Sets what the failure of an operation on the connection shows.
    void set_failed(const std::string& what, const boost::system::error_code& failed) {
        reason = what + ": " + failed.message();
        endpoint_ended = failed == boost::asio::error::connection_reset;
        closed_by_endpoint = is_closed_by_peer(failed);
    }
};

/// Times after which a silent endpoint of a stream is left if another one can take the call.
struct serving_front::stream_limits {
    state::milliseconds first_event; ///< from the request to the first event
    state::milliseconds event_gap;   ///< between two events
};

} // namespace savoryrelay::transport
