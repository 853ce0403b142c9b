// Types of the call path: the decoded request, the accepted call, the route of an
// attempt, and the ways an exchange with an endpoint can end.
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

/// A caller's request as decoded by a front end.
struct call_request {
    std::string bearer_token;
    std::string model;            ///< set if the request is a completion
    state::deployment_id service; ///< set if the request is a call to a plain service
    std::string body;   ///< starts with a line of method and target for a call to a plain service
    std::string prompt; ///< text used for prefix affinity
    std::uint32_t max_tokens = 0;                ///< 0 for a call to a plain service
    std::string idempotency_key;                 ///< empty if the caller sent none
    std::optional<state::milliseconds> deadline; ///< relative to the time of acceptance
    int priority = 0;                            ///< -10 to 10; larger values start first
};

/// How an exchange with an endpoint ended.
enum class exchange_end {
    completed,         ///< the whole answer arrived
    not_sent,          ///< certainly no byte was sent
    refused,           ///< the endpoint replied that it did not run the request
    no_answer,         ///< bytes were sent and no byte of an answer arrived
    interrupted,       ///< the connection broke during the answer
    mismatched_answer, ///< the answer belonged to another request
    caller_gone,       ///< the caller closed its connection
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::exchange_end> {
    using e = savoryrelay::coordination::exchange_end;
    static constexpr std::array rows{
        enum_name<e>{e::completed, "completed"},     enum_name<e>{e::not_sent, "not_sent"},
        enum_name<e>{e::refused, "refused"},         enum_name<e>{e::no_answer, "no_answer"},
        enum_name<e>{e::interrupted, "interrupted"}, enum_name<e>{e::mismatched_answer, "crossed"},
        enum_name<e>{e::caller_gone, "caller_gone"},
    };
};

namespace savoryrelay::coordination {

/// The endpoint of one attempt and how to connect to it.
struct call_route {
    state::endpoint_id endpoint;
    std::string address;
    std::uint16_t port = 0;
    bool fresh_connection = false; ///< a pooled connection must not be reused
    counted_attempt counted;       ///< identifies this attempt to `endpoint_catalog::end`
};

/// An accepted call. Only one thread may use it at a time.
/// Invariants: `deployment` and `customer` point into `configuration`, and
/// `may_have_run` never changes from true to false.
struct call {
    state::request_id id;
    state::snapshot<state::configuration> configuration;
    const state::deployment_config* deployment = nullptr;
    const state::customer_config* customer = nullptr;
    std::string body_digest; ///< SHA-256 of customer and request body, 64 hex digits
    request_fingerprint crash_fingerprint = 0;
    std::uint64_t ticket = 0; ///< identifies the call at admission; unique within the process
    std::vector<std::uint64_t> prefix; ///< digests of the prompt's prefixes
    std::uint32_t cost_tokens = 0;     ///< estimated tokens of prompt and answer
    int priority = 0;
    std::string idempotency_key;
    state::time_point accepted_at;
    state::time_point deadline;
    bool may_have_run = false; ///< an endpoint may have run the request
    std::uint32_t attempts = 0;
    std::vector<state::endpoint_id> excluded; ///< endpoints that failed this call
    std::vector<call_route> open_attempts;    ///< attempts that have begun and not ended
    std::optional<call_route> reserved;       ///< the next attempt, which is counted already
    bool has_ended = false;
};

} // namespace savoryrelay::coordination
