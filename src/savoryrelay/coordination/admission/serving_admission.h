// Admission of calls to the groups of models: the urgency of a call, whether it is admitted while
// demand exceeds capacity, and when the caller of a refused one should come back. Works for
// services with an engine; the plan is that of admission_plan.h.
#pragma once

#include "savoryrelay/coordination/admission/admission_plan.h"
#include "savoryrelay/coordination/admission/customer_shares.h"
#include "savoryrelay/coordination/serving/group_sample.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/serving_call.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::coordination {

/// Why a call is not admitted.
enum class admission_refusal_reason {
    shortage, ///< demand exceeds capacity, and other calls go first
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::admission_refusal_reason> {
    using r = savoryrelay::coordination::admission_refusal_reason;
    static constexpr std::array rows{enum_name<r>{r::shortage, "shortage"}};
};

namespace savoryrelay::coordination {

/// A call as admission sees it.
struct admission_call {
    const state::service_rule& service;
    const state::model_rule& model;
    state::call_urgency urgency = state::call_urgency::normal;
    const std::string& customer; ///< empty if the call has none
};

/// Dependencies of admission.
struct serving_admission_hooks {
    std::function<model_supply(const state::service_rule&, const state::model_rule&,
                               state::time_point now)>
        supply;
    /// Returns the demand of all hosts by urgency, in groups kept busy.
    std::function<state::urgency_amounts(const std::string& model, state::time_point now)> demand;
    /// Returns the number of hosts, this one included.
    std::function<std::size_t()> host_count;
    random_hook random;
};

/// Admits calls. Thread-safe.
class serving_admission {
public:
    /// A plan is used for this long. Digests arrive less often.
    static constexpr state::milliseconds plan_lifetime{50};
    /// Time over which the trend of the occupancy is measured.
    static constexpr state::milliseconds trend_time{300};
    /// Bounds of the time after which the callers of refused calls are told to come back.
    static constexpr state::milliseconds min_retry_after{300};
    static constexpr state::milliseconds max_retry_after{3'000};

    explicit serving_admission(serving_admission_hooks hooks) : m_hooks(std::move(hooks)) {}

    /// Returns the urgency of a call that has waited here for `waited`. `priority` is that of
    /// its customer, if it has one.
    [[nodiscard]] state::call_urgency urgency_of(const state::route_rule& route,
                                                 std::optional<std::uint32_t> priority,
                                                 const state::serving_call& call,
                                                 state::milliseconds waited, state::time_point now);
    /// Returns whether a call is admitted. To be asked once for each call.
    [[nodiscard]] bool admit(const admission_call& call, state::time_point now);
    /// Returns the plan for a model, as computed at most `plan_lifetime` ago. Hosts of small fleets
    /// compare all groups by loads that are hardly late, so their plan admits every call.
    [[nodiscard]] admission_plan plan_of(const state::service_rule& service,
                                         const state::model_rule& model, state::time_point now);
    /// Returns when the caller of a refused call should come back. The times are spread, so that
    /// callers who were refused together return apart.
    [[nodiscard]] state::milliseconds retry_after(const state::service_rule& service,
                                                  const state::model_rule& model,
                                                  state::time_point now);

private:
    struct known_plan {
        admission_plan plan;
        double mean_occupancy = 0; // of the last `trend_time`
        std::optional<state::time_point> at;
    };
    /// Returns what the occupancy will be when a decision takes effect, if its trend goes on.
    static double expect_occupancy(known_plan& known, double occupancy, state::time_point now);
    struct usual_deadline {
        double ms = 0;
        state::time_point at{};
    };
    /// Returns the time that the caller has spent at least before this call: one that comes back
    /// after a refusal has less time left than the route's callers have at first.
    state::milliseconds time_spent(const state::route_rule& route, const state::serving_call& call,
                                   state::time_point now);
    /// Returns a random number from 0 to 1.
    double draw() const;

    const serving_admission_hooks m_hooks;
    state::sharded_map<std::string, known_plan> m_plans;         // by service and model
    state::sharded_map<std::string, usual_deadline> m_deadlines; // by route
    customer_shares m_customers;
};

} // namespace savoryrelay::coordination
