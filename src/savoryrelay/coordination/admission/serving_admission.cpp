// Admits calls by the plan of their model.
#include "savoryrelay/coordination/admission/serving_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace savoryrelay::coordination {
namespace {

using state::call_urgency;
using state::milliseconds;

// The usual deadline of a route falls by this share in a second, so that it follows callers
// that send shorter ones.
constexpr double deadline_decay_per_s = 0.01;
// The first deadlines of a route's callers differ by up to this share.
constexpr double deadline_spread = 0.15;
// Time until a moderate shortage has passed, by which callers are told to come back.
constexpr milliseconds usual_retry_after{1'500};
// Bound of the change that is expected of the occupancy.
constexpr double max_rise = 0.5;

} // namespace

milliseconds serving_admission::time_spent(const state::route_rule& route,
                                           const state::serving_call& call, state::time_point now) {
    if (!call.deadline) {
        return milliseconds(0);
    }
    const auto deadline_ms = static_cast<double>(call.deadline->count());
    const double usual_ms = m_deadlines.update(route.name, [&](usual_deadline& usual) {
        const double age_s = std::chrono::duration<double>(now - usual.at).count();
        usual.ms =
            std::max(deadline_ms, usual.ms * std::max(0.0, 1 - deadline_decay_per_s * age_s));
        usual.at = now;
        return usual.ms;
    });
    const double spent_ms = (1 - deadline_spread) * usual_ms - deadline_ms;
    return milliseconds(static_cast<std::int64_t>(std::max(0.0, spent_ms)));
}

call_urgency serving_admission::urgency_of(const state::route_rule& route,
                                           std::optional<std::uint32_t> priority,
                                           const state::serving_call& call, milliseconds waited,
                                           state::time_point now) {
    const auto spent = waited + time_spent(route, call, now);
    const bool has_answer = call.last_event.has_value();
    if (!has_answer && route.first_answer_target.count() > 0 && spent > route.first_answer_target) {
        return call_urgency::late;
    }
    switch (priority.value_or(route.priority)) {
    case 0:
        return call_urgency::urgent;
    case 1:
        return call_urgency::normal;
    default:
        return call_urgency::relaxed;
    }
}

admission_plan serving_admission::plan_of(const state::service_rule& service,
                                          const state::model_rule& model, state::time_point now) {
    if (m_hooks.host_count() <= max_unsampled_hosts) {
        return {};
    }
    const auto key = service.name + '/' + model.name;
    if (const auto known = m_plans.find(key);
        known && known->at && now - *known->at < plan_lifetime) {
        return known->plan;
    }
    auto supply = m_hooks.supply(service, model, now);
    const auto demand = m_hooks.demand(model.name, now);
    return m_plans.update(key, [&](known_plan& known) {
        supply.occupancy = expect_occupancy(known, supply.occupancy, now);
        known.plan = plan_admission(supply, demand);
        return known.plan;
    });
}

double serving_admission::expect_occupancy(known_plan& known, double occupancy,
                                           state::time_point now) {
    const double trend_ms = static_cast<double>(trend_time.count());
    const double age_ms =
        known.at ? std::chrono::duration<double, std::milli>(now - *known.at).count() : trend_ms;
    const double weight = known.at ? 1 - std::exp(-age_ms / trend_ms) : 1;
    known.mean_occupancy += weight * (occupancy - known.mean_occupancy);
    known.at = now;
    // An exponential mean follows a steady trend at the distance of its time constant.
    const double rise =
        (occupancy - known.mean_occupancy) * static_cast<double>(load_delay.count()) / trend_ms;
    return std::max(0.0, occupancy + std::clamp(rise, -max_rise, max_rise));
}

bool serving_admission::admit(const admission_call& call, state::time_point now) {
    const auto plan = plan_of(call.service, call.model, now);
    const double fraction = m_customers.fraction_of(
        call.model.name, call.customer, state::amount_of(plan.fractions, call.urgency), now);
    return fraction >= 1 || draw() < fraction;
}

milliseconds serving_admission::retry_after(const state::service_rule& service,
                                            const state::model_rule& model, state::time_point now) {
    const auto shortage = plan_of(service, model, now).shortage;
    const auto usual = static_cast<double>(usual_retry_after.count());
    const double longest = static_cast<double>(max_retry_after.count()) / 1.5;
    const auto spread = milliseconds(
        static_cast<std::int64_t>(std::min(usual * shortage, longest) * (0.5 + draw())));
    return std::clamp(spread, min_retry_after, max_retry_after);
}

double serving_admission::draw() const {
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(m_hooks.random() % steps) / static_cast<double>(steps);
}

} // namespace savoryrelay::coordination
