// A caller's request and an endpoint's answer, as the decisions see them.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace savoryrelay::state {

/// What a request says of itself.
struct serving_call {
    request_id id; ///< new for each attempt of a caller
    std::string host;
    std::string path;
    std::string key;                         ///< empty: none
    std::optional<milliseconds> deadline;    ///< how long the caller waits, from its arrival
    std::optional<std::uint64_t> last_event; ///< the stream goes on after this event
    std::string model;                       ///< empty: the call needs no model
    double prompt_tokens = 0;
    double longest_answer_tokens = 0;
    double expected_answer_tokens = 0; ///< the caller's estimate; 0: none
};

/// How the head of an endpoint's answer is to be read.
struct answer_head {
    unsigned status = 0;
    std::string request_id;         ///< echoed by the endpoint
    bool is_not_run = false;        ///< the endpoint says that it has not run the request
    bool is_other_endpoint = false; ///< another runner has the address
    std::string faulty_runner;      ///< a member that the answering head cannot reach
};

} // namespace savoryrelay::state
