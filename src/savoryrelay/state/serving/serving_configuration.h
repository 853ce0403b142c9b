// The operators' configuration of the serving path: routes, services with their
// engines, customers and their keys.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savoryrelay::state {

/// Determines whether a call may be repeated.
enum class call_kind {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< runs at most once
    streaming,      ///< an event stream; runs at most once unless it is resumable
};

template <>
struct enum_table<call_kind> {
    static constexpr std::array rows{
        enum_name<call_kind>{call_kind::idempotent, "idempotent"},
        enum_name<call_kind>{call_kind::non_idempotent, "non_idempotent"},
        enum_name<call_kind>{call_kind::streaming, "streaming"},
    };
};

/// A service that receives a share of a route's calls.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// A rule for the calls to one host name below one path prefix.
struct route_rule {
    std::string name;
    std::string host;        ///< host name, without a port
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind = call_kind::non_idempotent;
    milliseconds timeout{0};                ///< maximum duration of a call for its caller; 0: none
    milliseconds first_answer_target{0};    ///< target for the answer or its first event; 0: none
    milliseconds event_gap_target{0};       ///< target maximum time between events; 0: none
    std::uint32_t priority = 1;             ///< 0 is the highest
    std::uint32_t max_attempts = 1;         ///< maximum number of endpoints that may run one call
    bool is_public = false;                 ///< callers need no key
    bool is_resumable = false;              ///< a stream may resume on another endpoint
    bool calls_model = false;               ///< calls name a model and their token counts
    std::vector<weighted_service> services; ///< at least one

    /// Returns whether a call of this route may run more than once.
    [[nodiscard]] bool may_run_again() const {
        return kind == call_kind::idempotent || (kind == call_kind::streaming && is_resumable);
    }
};

/// A model that is served by groups of an engine's runners.
struct model_rule {
    std::string name;
    std::uint32_t group_size = 1;
    double share = 1;             ///< share of the runners at the start, 0 to 1
    double time_factor = 1;       ///< factor on all times of the engine for this model
    milliseconds load_time{0};    ///< to load the weights from the weight store
    milliseconds warm_up_time{0}; ///< to load the weights from the runner's own host
};

/// The published times and sizes of a service's engine, from which response times are
/// predicted.
struct engine_rule {
    std::uint32_t slots = 1;
    double step_ms = 0;               ///< duration of a generation step without requests
    double step_per_request_ms = 0;   ///< added to a step for each stream that is generating
    double context_ms_per_k = 0;      ///< added to a step per 1,000 tokens of the streams' context
    double prompt_tokens_per_ms = 1;  ///< prompt processing speed
    double pairs_ms_per_million = 0;  ///< added per million pairs of prompt tokens
    std::uint32_t chunk_tokens = 1;   ///< prompt tokens processed between two passes
    std::uint32_t steps_per_pass = 1; ///< generation steps between two chunks of prompt tokens
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    std::uint32_t loads_at_once = 1; ///< concurrent weight loads; more would slow each other down
    double loads_per_s = 1;          ///< weight loads that may start per second
    milliseconds open_duration{0};   ///< from the `open` order until the group serves calls
    std::vector<model_rule> models;

    /// Returns the model with this name, or null.
    [[nodiscard]] const model_rule* find_model(std::string_view name) const;
};

/// A service and the limits of its endpoints.
struct service_rule {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< limit for one endpoint, over all callers
    milliseconds cold_duration{0};     ///< a newly started endpoint is cold for this long
    double cold_calls_per_s = 0;       ///< limit for a cold endpoint; 0: no limit
    std::optional<engine_rule> engine;
};

/// Limits on the size and timing of callers' requests.
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// A customer and the API keys that identify its callers.
struct customer_rule {
    customer_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< overrides the priority of the route
};

/// A complete configuration. Call `index` before the first look-up.
struct serving_configuration {
    std::uint64_t version = 0; ///< 0: no configuration received yet
    std::vector<route_rule> routes;
    std::map<std::string, service_rule> services;
    caller_limits limits;
    /// Calls need the key of a customer, except on public routes.
    bool requires_keys = false;
    std::vector<customer_rule> customers;

    /// Builds the indexes of routes and keys.
    void index();
    /// Returns the route of `host` with the longest path prefix that matches `path`, or
    /// null.
    [[nodiscard]] const route_rule* find_route(std::string_view host, std::string_view path) const;
    /// Returns the customer that owns `key`, or null.
    [[nodiscard]] const customer_rule* find_customer(const std::string& key) const;

private:
    // Indexes into `routes`, longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
    std::unordered_map<std::string, std::size_t> m_customers_by_key;
};

} // namespace savoryrelay::state
