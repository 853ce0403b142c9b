// The parts of a caller's request and an endpoint's answer on which decisions depend.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/call_urgency.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// Data of a caller's request.
struct serving_call {
    request_id id; ///< the caller sends a new one with each attempt
    std::string host;
    std::string path;
    std::string key;                      ///< API key that identifies the customer; empty: none
    std::optional<milliseconds> deadline; ///< the caller's longest wait after the request arrives
    std::optional<std::uint64_t> last_event; ///< the stream resumes after this event
    std::string model;                       ///< empty: the call needs no model
    double prompt_tokens = 0;
    double max_answer_tokens = 0;      ///< the caller's limit; 0: none
    double expected_answer_tokens = 0; ///< the caller's estimate; 0: none
    /// The parts of the prompt that other calls may share, in their order.
    std::vector<std::string> shared_prompt_parts;
    call_urgency urgency = call_urgency::normal;
};

/// What was read of the pause for which an endpoint that refuses a request may ask.
enum class pause_reading {
    absent,      ///< the answer asks for none
    valid,       ///< one time within the limit
    too_long,    ///< cut to the limit
    conflicting, ///< several times that differ; the longest that can be read applies
    unreadable,  ///< no time; there is no pause
};

template <>
struct enum_table<pause_reading> {
    using p = pause_reading;
    static constexpr std::array rows{
        enum_name<p>{p::absent, "absent"},         enum_name<p>{p::valid, "valid"},
        enum_name<p>{p::too_long, "too_long"},     enum_name<p>{p::conflicting, "conflicting"},
        enum_name<p>{p::unreadable, "unreadable"},
    };
};

/// What was read of the rate of calls that an endpoint takes from all hosts together.
enum class call_rate_reading {
    absent,      ///< the answer names none
    valid,       ///< one rate
    conflicting, ///< several rates that differ; the lowest that can be read applies
    unreadable,  ///< no rate
};

template <>
struct enum_table<call_rate_reading> {
    using r = call_rate_reading;
    static constexpr std::array rows{
        enum_name<r>{r::absent, "absent"},
        enum_name<r>{r::valid, "valid"},
        enum_name<r>{r::conflicting, "conflicting"},
        enum_name<r>{r::unreadable, "unreadable"},
    };
};

/// Data from the status line and header fields of an endpoint's answer.
struct answer_head {
    unsigned status = 0;
    std::string request_id;         ///< request id that the endpoint echoes
    bool is_not_run = false;        ///< the endpoint reports that it has not run the request
    bool is_other_endpoint = false; ///< another runner now uses the address
    bool has_receipt = false;       ///< the endpoint's receipt reaches the caller with the answer
    bool is_encoded = false;        ///< the body is not the one that the endpoint made
    bool is_leaving = false;        ///< the endpoint is about to stop
    /// Time for which the endpoint wants no requests from this host; 0: none.
    milliseconds pause{0};
    pause_reading pause_field = pause_reading::absent;
    /// Calls a second that the endpoint takes from all hosts together; empty if none can be read.
    std::optional<double> call_rate_limit;
    call_rate_reading call_rate_field = call_rate_reading::absent;
    std::string faulty_runner; ///< member that the answering head cannot reach; empty: none
};

} // namespace savoryrelay::state
