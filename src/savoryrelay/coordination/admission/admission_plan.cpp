// Divides the rate that the groups of a model can take among the urgencies.
#include "savoryrelay/coordination/admission/admission_plan.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>

namespace savoryrelay::coordination {
namespace {

// Beyond this backlog of prompts, free places in the batches are no sign of free capacity.
constexpr double max_waiting_chunks = 3;
// Bounds of the factor by which the admitted rate answers a deviation of the occupancy. Above,
// the occupancy would swing, as the answer comes after `load_delay`.
constexpr double min_gain = 1;
constexpr double max_gain = 2.5;
// The admitted rate never falls below this share of the capacity, so that the measurements
// that end a shortage go on.
constexpr double min_rate = 0.4;
// Bound of the admitted rate, in shares of the capacity, that allows for estimates of the work
// which are too high.
constexpr double max_rate = 1.25;
// The same with late calls.
constexpr double late_rate = 0.9;
// An urgency that is in time is admitted at least at this share of the mean of all. The rest
// goes to the more urgent calls.
constexpr double floor_share = 0.4;

constexpr std::array in_time_urgencies{state::call_urgency::urgent, state::call_urgency::normal,
                                       state::call_urgency::relaxed};

} // namespace

bool admission_plan::is_short() const {
    return std::any_of(in_time_urgencies.begin(), in_time_urgencies.end(),
                       [&](auto urgency) { return state::amount_of(fractions, urgency) < 1; });
}

model_supply measure_supply(const state::engine_rule& engine, const state::model_rule& model,
                            const std::vector<group_candidate>& groups) {
    model_supply supply;
    double calls = 0;
    double waiting_tokens = 0;
    for (const auto& group : groups) {
        supply.groups += std::min(1 / std::max(1.0, group.time_factor), group.usable_share);
        calls += group.load.writing + group.load.waiting;
        waiting_tokens += group.load.waiting_prompt_tokens;
    }
    const double slots = std::max(1U, engine.slots);
    if (supply.groups > 0) {
        supply.occupancy = calls / (supply.groups * slots);
        supply.waiting_chunks =
            waiting_tokens / (supply.groups * std::max(1U, engine.chunk_tokens));
    }
    // Without a prompt, the work of a call is its share of a full batch.
    supply.call_duration_ms = slots * call_work_ms(engine, model, {});
    return supply;
}

admission_plan plan_admission(const model_supply& supply, const state::urgency_amounts& demand) {
    admission_plan plan;
    plan.supply = supply;
    plan.demand = std::accumulate(demand.begin(), demand.end(), 0.0);
    if (supply.groups <= 0) {
        return plan; // placement says that no group is open
    }
    const double gain = std::clamp(
        supply.call_duration_ms / static_cast<double>(load_delay.count()), min_gain, max_gain);
    const double answer = std::max(min_rate, 1 + gain * (target_occupancy - supply.occupancy));
    const bool has_backlog = supply.waiting_chunks > max_waiting_chunks;
    const double rate = supply.groups * std::min(has_backlog ? 1 : max_rate, answer);

    double in_time = 0;
    for (const auto urgency : in_time_urgencies) {
        in_time += state::amount_of(demand, urgency);
    }
    const double floor = in_time > 0 ? floor_share * std::min(1.0, rate / in_time) : 1;
    double left = rate - floor * in_time;
    for (const auto urgency : in_time_urgencies) {
        const double rest = (1 - floor) * state::amount_of(demand, urgency);
        const double served = std::clamp(left, 0.0, rest);
        left -= served;
        state::amount_of(plan.fractions, urgency) =
            served < rest ? floor + (1 - floor) * served / rest : 1;
    }
    const double late = state::amount_of(demand, state::call_urgency::late);
    // Free places are refilled by calls in time. The late ones of a shortage come all at once.
    left = std::min(left, supply.groups * std::min(late_rate, answer) - in_time);
    state::amount_of(plan.fractions, state::call_urgency::late) =
        late > 0   ? std::clamp(left / late, 0.0, 1.0)
        : left > 0 ? 1
                   : 0;
    plan.shortage = std::max(1.0, plan.demand / rate);
    return plan;
}

} // namespace savoryrelay::coordination
