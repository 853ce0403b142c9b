// A caller's request on its way through the system, and what may happen to one
// attempt at an endpoint.
#pragma once

#include "savoryrelay/coordination/retry/crash_suspects.h"
#include "savoryrelay/coordination/routing/endpoint_catalog.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// What a front end decoded from a caller's request.
struct call_request {
    std::string bearer_token;
    std::string model;            ///< set for a completion
    state::deployment_id service; ///< set for a call to a plain service
    std::string body;
    std::string prompt;                          ///< text that prefix affinity looks at
    std::uint32_t max_tokens = 0;                ///< 0 for a service
    std::string idempotency_key;                 ///< empty: none
    std::optional<state::milliseconds> deadline; ///< from now
    int priority = 0;                            ///< larger goes first, -10 to 10
};

/// How the exchange with an endpoint ended, the whole answers included.
enum class exchange_end {
    completed,   ///< the whole answer arrived
    not_sent,    ///< it is certain that no byte left
    refused,     ///< the endpoint answered that it did not run the request
    no_answer,   ///< bytes left, and no byte of an answer came
    interrupted, ///< the answer broke off
    crossed,     ///< the answer belonged to another request
    caller_gone, ///< the caller closed its connection
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::exchange_end> {
    using e = savoryrelay::coordination::exchange_end;
    static constexpr std::array rows{
        enum_name<e>{e::completed, "completed"},     enum_name<e>{e::not_sent, "not_sent"},
        enum_name<e>{e::refused, "refused"},         enum_name<e>{e::no_answer, "no_answer"},
        enum_name<e>{e::interrupted, "interrupted"}, enum_name<e>{e::crossed, "crossed"},
        enum_name<e>{e::caller_gone, "caller_gone"},
    };
};

namespace savoryrelay::coordination {

/// An accepted call. Used by one thread at a time.
/// Invariants: `deployment` and `customer` point into `configuration`;
/// once `bytes_left` is true it stays true.
struct call {
    state::request_id id;
    std::shared_ptr<const state::configuration> configuration;
    const state::deployment_config* deployment = nullptr;
    const state::customer_config* customer = nullptr;
    std::string fingerprint; ///< SHA-256 of customer and body, 64 hex digits
    request_fingerprint crash_fingerprint = 0;
    std::uint64_t ticket = 0;          ///< at admission, unique within the process
    std::vector<std::uint64_t> prefix; ///< digests of the prompt's prefixes
    std::uint32_t cost_tokens = 0;
    int priority = 0;
    std::string idempotency_key;
    state::time_point accepted_at;
    state::time_point deadline;
    bool bytes_left = false; ///< some byte of the request may have reached an endpoint
    std::uint32_t attempts = 0;
    std::vector<state::endpoint_id> excluded; ///< endpoints that failed this call
};

/// Where an attempt goes.
struct call_route {
    state::endpoint_id endpoint;
    std::string address;
    std::uint16_t port = 0;
    bool fresh_connection = false; ///< a kept connection must not be used
    counted_attempt counted;       ///< where the attempt is counted
};

} // namespace savoryrelay::coordination
