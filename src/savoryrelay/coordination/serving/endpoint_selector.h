// Selects the endpoint of a call from this host's view of the fleet.
#pragma once

#include "savoryrelay/coordination/admission/admission_plan.h"
#include "savoryrelay/coordination/serving/call_rate_limiter.h"
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/group_choice.h"
#include "savoryrelay/coordination/serving/group_sample.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/coordination/serving/prediction_correction.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace savoryrelay::coordination {

/// The endpoint selected for one attempt.
struct selected_endpoint {
    /// A choice counts against the limits that hold when it is made, so the request must be
    /// sent within this time. Covers the time-out of a new connection.
    static constexpr state::milliseconds validity{500};

    runner_view runner;
    double predicted_first_event_ms = 0;   ///< 0 if the service has no engine
    double uncorrected_first_event_ms = 0; ///< without the learned correction of the model
    state::time_point selected_at{};

    /// Returns whether the request may be sent at `now`.
    [[nodiscard]] bool is_valid(state::time_point now) const {
        return now - selected_at <= validity;
    }
};

/// Why no endpoint was selected.
enum class selection_failure {
    none_in_service, ///< no endpoint is available for this call
    all_paused,      ///< every endpoint for this call has asked this host for a pause
    all_full,        ///< every available endpoint is at its limit of calls
    all_limited,     ///< every available endpoint gets all the calls a second that it takes
    too_late,        ///< the chosen endpoint is predicted to answer after the deadline
    none_in_time,    ///< none of the compared groups is predicted to be within the limits
};

/// The times within which a call must be placed while its model is short of capacity.
struct placement_limits {
    double first_event_ms = 0; ///< until the first event, from now
    double event_gap_ms = 0;   ///< between events; 0: none
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::selection_failure> {
    using f = savoryrelay::coordination::selection_failure;
    static constexpr std::array rows{
        enum_name<f>{f::none_in_service, "none_in_service"},
        enum_name<f>{f::all_paused, "all_paused"},
        enum_name<f>{f::all_full, "all_full"},
        enum_name<f>{f::all_limited, "all_limited"},
        enum_name<f>{f::too_late, "too_late"},
        enum_name<f>{f::none_in_time, "none_in_time"},
    };
};

namespace savoryrelay::coordination {

/// Whether one more call may be sent to an endpoint.
enum class call_admission {
    admitted,
    excluded, ///< it takes no calls of this host
    cold,     ///< the endpoint is cold, and this host has used its share of the calls
    limited,  ///< the endpoint gets all the calls a second that it takes
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::call_admission> {
    using a = savoryrelay::coordination::call_admission;
    static constexpr std::array rows{
        enum_name<a>{a::admitted, "admitted"},
        enum_name<a>{a::excluded, "excluded"},
        enum_name<a>{a::cold, "cold"},
        enum_name<a>{a::limited, "limited"},
    };
};

namespace savoryrelay::coordination {

/// Whether a selection considers endpoints that have named a rate of calls. Each time it does, it
/// counts as one more call that the host wants to send to them.
enum class limited_endpoints { ask, leave_out };

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::limited_endpoints> {
    using l = savoryrelay::coordination::limited_endpoints;
    static constexpr std::array rows{
        enum_name<l>{l::ask, "ask"},
        enum_name<l>{l::leave_out, "leave_out"},
    };
};

namespace savoryrelay::coordination {

/// Dependencies of the selector.
struct selector_hooks {
    std::function<state::snapshot<std::set<state::availability_zone_id>>()> zones_out_of_service;
    /// Returns the number of hosts, this one included.
    std::function<std::size_t()> host_count;
    /// Returns the hashes of the names of the hosts that share the call limit of a cold
    /// endpoint; the first is that of this host.
    std::function<std::vector<std::uint64_t>()> host_hashes;
    random_hook random;
    /// Returns whether a call may be sent to a runner that has named a rate of calls, and counts
    /// it.
    std::function<bool(const runner_view& runner, state::time_point now)> admit_limited =
        [](const auto&, auto) { return true; };
    /// Returns how many times its limit the hosts want to send to a runner.
    std::function<double(const runner_view& runner, state::time_point now)> call_shortage =
        [](const auto&, auto) { return 1.0; };
    choose_group_hook choose = choose_group;
};

/// Returns how many calls an endpoint of `service` may have in flight.
[[nodiscard]] std::uint32_t call_limit_of(const state::runner_record& runner,
                                          const state::service_rule& service);

/// Selects endpoints for the calls of all services. Thread-safe.
class endpoint_selector {
public:
    endpoint_selector(const fleet_table& fleet, const load_tracker& loads,
                      const prediction_correction& correction, state::host_entry own_host,
                      selector_hooks hooks)
        : m_fleet(fleet), m_loads(loads), m_correction(correction), m_own_host(std::move(own_host)),
          m_hooks(std::move(hooks)) {}

    /// Selects an endpoint of `service` that is not among `excluded`. With `limits`, a group
    /// must be predicted to keep them, unless an idle one would not.
    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    select(const state::service_rule& service, const state::serving_call& call,
           const std::set<state::endpoint_id>& excluded, state::milliseconds time_left,
           state::time_point now, const std::optional<placement_limits>& limits = std::nullopt,
           limited_endpoints limited = limited_endpoints::ask);
    /// Returns what `select` would return for a call of `route` that arrives now, apart from the
    /// limits of cold endpoints and of those that have named a rate of calls.
    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    preview(const state::service_rule& service, const state::route_rule& route,
            const state::serving_call& call, state::time_point now,
            const std::optional<placement_limits>& limits = std::nullopt) const;
    /// Returns the times that are predicted for `call` if `head` takes it.
    [[nodiscard]] group_prediction predict_at(const state::engine_rule& engine,
                                              const state::model_rule& model,
                                              const runner_view& head,
                                              const state::endpoint_load& load,
                                              const state::serving_call& call) const;
    /// Returns what the groups of a model that take calls can serve.
    [[nodiscard]] model_supply supply(const state::service_rule& service,
                                      const state::model_rule& model, state::time_point now) const;
    /// Returns when the first pause of an endpoint of `service` ends. Returns nothing if an
    /// endpoint that could take the call is not paused, or if there is none.
    [[nodiscard]] std::optional<state::time_point> paused_until(const state::service_rule& service,
                                                                const state::serving_call& call,
                                                                state::time_point now) const;

    /// Returns when the caller of a call that was refused because of the rates of its endpoints
    /// should come back. The times are spread, so that such callers return apart.
    [[nodiscard]] state::milliseconds retry_after_limits(const state::service_rule& service,
                                                         const state::serving_call& call,
                                                         state::time_point now) const;

private:
    /// Decides whether an endpoint may take one more call, and counts it.
    using admit_call_hook = std::function<call_admission(const runner_view&)>;

    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    select_admitted(const state::service_rule& service, const state::serving_call& call,
                    const std::set<state::endpoint_id>& excluded, state::milliseconds time_left,
                    state::time_point now, const std::optional<placement_limits>& limits,
                    const admit_call_hook& admit) const;
    /// Returns a head and what is known of its group as a candidate for a call.
    [[nodiscard]] group_candidate make_candidate(const runner_view& head,
                                                 const state::endpoint_load& load) const;
    using loads_by_endpoint = std::unordered_map<state::endpoint_id, state::endpoint_load>;

    /// Returns the endpoints that are known to serve calls for `model`, whether or not they may
    /// take one now. Ignores the model if the service has no engine.
    [[nodiscard]] std::vector<const runner_view*> find_endpoints(const fleet_snapshot& fleet,
                                                                 const state::service_rule& service,
                                                                 const std::string& model) const;
    [[nodiscard]] std::vector<group_candidate>
    make_candidates(const std::vector<const runner_view*>& heads,
                    const loads_by_endpoint& loads) const;
    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    select_group(const state::service_rule& service, const state::model_rule& model,
                 const state::serving_call& call, const std::vector<const runner_view*>& heads,
                 state::milliseconds time_left, state::time_point now,
                 const std::optional<placement_limits>& limits) const;
    [[nodiscard]] std::variant<selected_endpoint, selection_failure>
    select_least_loaded(const state::service_rule& service,
                        const std::vector<const runner_view*>& runners,
                        state::time_point now) const;
    /// Compares the predictions of `heads`. Returns nothing if all their batches are full.
    [[nodiscard]] std::optional<group_choice> choose(const state::engine_rule& engine,
                                                     const state::model_rule& model,
                                                     const state::serving_call& call,
                                                     const std::vector<const runner_view*>& heads,
                                                     const loads_by_endpoint& loads) const;
    /// Counts a call to a cold endpoint against this host's share of the endpoint's
    /// call limit. Returns false when the share of the last second is used up.
    bool admit_cold_call(const state::service_rule& service, const runner_view& runner,
                         state::time_point now);

    const fleet_table& m_fleet;
    const load_tracker& m_loads;
    const prediction_correction& m_correction;
    const state::host_entry m_own_host;
    const selector_hooks m_hooks;
    state::sharded_map<state::endpoint_id, std::vector<state::time_point>> m_cold_calls;
};

} // namespace savoryrelay::coordination
