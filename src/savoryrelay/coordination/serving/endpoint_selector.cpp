// Filters the endpoints that can take a call, then chooses among them by load.
#include "savoryrelay/coordination/serving/endpoint_selector.h"

#include "savoryrelay/coordination/serving/cold_limit.h"
#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

// Assumed round trip to another zone; zones are some milliseconds apart.
constexpr double zone_round_trip_ms = 8;
// The limit of a cold endpoint counts the calls that arrive within a second. The window is
// longer, because calls may be under way for different times.
constexpr std::chrono::milliseconds cold_window{1'250};
// A call whose prompt takes most of its limits by itself may take this much longer than at an
// idle group, so that long calls are served beside short ones.
constexpr double idle_tolerance = 1.5;
// Samples that are compared for a call with limits. Comparing all groups would send the calls of
// all hosts to the few that seem free.
constexpr int draws_within_limits = 3;

} // namespace

std::vector<const runner_view*>
endpoint_selector::find_endpoints(const fleet_snapshot& fleet, const state::service_rule& service,
                                  const std::string& model_name) const {
    const auto out_of_service = m_hooks.zones_out_of_service();
    const auto* model = service.engine ? service.engine->find_model(model_name) : nullptr;
    std::vector<const runner_view*> runners;
    for (const auto& runner : fleet) {
        const auto& record = runner.record;
        const bool serves = service.engine ? model != nullptr && record.is_open_head() &&
                                                 record.model == model->name
                                           : true;
        if (record.service == service.name && serves &&
            !out_of_service->contains(record.availability_zone)) {
            runners.push_back(&runner);
        }
    }
    return runners;
}

std::optional<state::time_point> endpoint_selector::paused_until(const state::service_rule& service,
                                                                 const state::serving_call& call,
                                                                 state::time_point now) const {
    const auto fleet = m_fleet.snapshot();
    std::optional<state::time_point> first_end;
    for (const auto* runner : find_endpoints(*fleet, service, call.model)) {
        const auto known = m_fleet.find(runner->record.id);
        if (!known || !known->is_listed(now) || known->is_leaving(now) || known->silent_since) {
            continue;
        }
        const auto end = known->paused_until(now);
        if (!end) {
            return std::nullopt;
        }
        first_end = std::min(first_end.value_or(*end), *end);
    }
    return first_end;
}

std::uint32_t call_limit_of(const state::runner_record& runner,
                            const state::service_rule& service) {
    constexpr std::uint32_t calls_per_slot = 2; // of a service without an engine
    return service.engine ? service.engine->slots : std::max(1U, runner.slots) * calls_per_slot;
}

std::variant<selected_endpoint, selection_failure>
endpoint_selector::select(const state::service_rule& service, const state::serving_call& call,
                          const std::set<state::endpoint_id>& excluded,
                          state::milliseconds time_left, state::time_point now,
                          const std::optional<placement_limits>& limits,
                          limited_endpoints limited) {
    return select_admitted(
        service, call, excluded, time_left, now, limits, [&](const runner_view& runner) {
            const bool is_limited = runner.call_rate.calls_per_s.has_value();
            if (is_limited && limited == limited_endpoints::leave_out) {
                return call_admission::limited;
            }
            if (!admit_cold_call(service, runner, now)) {
                return call_admission::cold;
            }
            return !is_limited || m_hooks.admit_limited(runner, now) ? call_admission::admitted
                                                                     : call_admission::limited;
        });
}

std::variant<selected_endpoint, selection_failure>
endpoint_selector::preview(const state::service_rule& service, const state::route_rule& route,
                           const state::serving_call& call, state::time_point now,
                           const std::optional<placement_limits>& limits) const {
    auto time_left = call.deadline.value_or(state::max_duration);
    if (route.timeout.count() > 0) {
        time_left = std::min(time_left, route.timeout);
    }
    return select_admitted(service, call, {}, time_left, now, limits,
                           [](const runner_view&) { return call_admission::admitted; });
}

state::milliseconds endpoint_selector::retry_after_limits(const state::service_rule& service,
                                                          const state::serving_call& call,
                                                          state::time_point now) const {
    constexpr auto shortest = static_cast<double>(call_rate_limiter::min_retry_after.count());
    constexpr auto longest = static_cast<double>(call_rate_limiter::max_retry_after.count());
    // Time in which the calls of one second can be sent.
    constexpr double rate_window_ms = 1'000;
    double least_shortage = 0;
    const auto fleet = m_fleet.snapshot();
    for (const auto* runner : find_endpoints(*fleet, service, call.model)) {
        if (runner->call_rate.calls_per_s && runner->may_take_calls(now)) {
            const double shortage = m_hooks.call_shortage(*runner, now);
            least_shortage = least_shortage == 0 ? shortage : std::min(least_shortage, shortage);
        }
    }
    constexpr std::uint64_t steps = 1'000;
    const double spread = static_cast<double>(m_hooks.random() % steps) / steps;
    const double window_ms = std::clamp(rate_window_ms * least_shortage, shortest, longest);
    return state::milliseconds(
        static_cast<std::int64_t>(shortest + spread * (window_ms - shortest)));
}

group_prediction endpoint_selector::predict_at(const state::engine_rule& engine,
                                               const state::model_rule& model,
                                               const runner_view& head,
                                               const state::endpoint_load& load,
                                               const state::serving_call& call) const {
    return predict(engine, model, make_candidate(head, load), call);
}

std::variant<selected_endpoint, selection_failure> endpoint_selector::select_admitted(
    const state::service_rule& service, const state::serving_call& call,
    const std::set<state::endpoint_id>& excluded, state::milliseconds time_left,
    state::time_point now, const std::optional<placement_limits>& limits,
    const admit_call_hook& admit) const {
    const auto fleet = m_fleet.snapshot();
    const auto* model = service.engine ? service.engine->find_model(call.model) : nullptr;
    auto runners = find_endpoints(*fleet, service, call.model);
    std::erase_if(runners, [&](const auto* runner) {
        return !runner->may_take_calls(now) || excluded.contains(runner->record.id);
    });
    bool is_cold_limit_reached = false;
    bool is_rate_reached = false;
    while (!runners.empty()) {
        auto selected = service.engine
                            ? select_group(service, *model, call, runners, time_left, now, limits)
                            : select_least_loaded(service, runners, now);
        if (auto* endpoint = std::get_if<selected_endpoint>(&selected)) {
            // The snapshot may be older than what this host has learned of the endpoint.
            const auto known = m_fleet.find(endpoint->runner.record.id);
            const bool is_unwanted = !known || !known->may_take_calls(now);
            const auto admission = is_unwanted ? call_admission::excluded : admit(*known);
            if (admission != call_admission::admitted) {
                is_cold_limit_reached = is_cold_limit_reached || admission == call_admission::cold;
                is_rate_reached = is_rate_reached || admission == call_admission::limited;
                std::erase_if(runners, [&](const auto* each) {
                    return each->record.id == endpoint->runner.record.id;
                });
                continue;
            }
            endpoint->selected_at = now;
        }
        return selected;
    }
    if (is_cold_limit_reached) {
        return selection_failure::all_full;
    }
    if (is_rate_reached) {
        return selection_failure::all_limited;
    }
    return paused_until(service, call, now) ? selection_failure::all_paused
                                            : selection_failure::none_in_service;
}

std::variant<selected_endpoint, selection_failure>
endpoint_selector::select_group(const state::service_rule& service, const state::model_rule& model,
                                const state::serving_call& call,
                                const std::vector<const runner_view*>& heads,
                                state::milliseconds time_left, state::time_point now,
                                const std::optional<placement_limits>& limits) const {
    const auto loads = m_loads.all(now);
    const auto& engine = *service.engine;
    const auto idle = predict(engine, model, {}, call);
    const auto corrected_ms = [&](const group_prediction& prediction) {
        return std::max(1.0, prediction.first_event_ms + m_correction.correction_ms(model.name));
    };
    const auto is_within = [&](const group_choice& choice) {
        const auto& expected = choice.prediction;
        return corrected_ms(expected) <=
                   std::max(limits->first_event_ms, idle_tolerance * corrected_ms(idle)) &&
               (limits->event_gap_ms <= 0 ||
                expected.event_gap_ms <=
                    std::max(limits->event_gap_ms, idle_tolerance * idle.event_gap_ms));
    };
    std::optional<group_choice> choice;
    const int draws = limits ? draws_within_limits : 1;
    for (int draw = 0; draw < draws; ++draw) {
        const auto sampled = sample_heads(heads, m_own_host.name, m_own_host.availability_zone,
                                          m_hooks.host_count(), m_hooks.random);
        choice = choose(engine, model, call, sampled, loads);
        if (limits && (!choice || !is_within(*choice))) {
            choice.reset();
            if (sampled.size() == heads.size()) {
                break;
            }
            continue;
        }
        if (!choice && sampled.size() < heads.size()) {
            choice = choose(engine, model, call, heads, loads);
        }
        break;
    }
    if (!choice) {
        return limits ? selection_failure::none_in_time : selection_failure::all_full;
    }
    const double predicted = corrected_ms(choice->prediction);
    if (predicted > static_cast<double>(time_left.count())) {
        return selection_failure::too_late;
    }
    const auto head = std::find_if(heads.begin(), heads.end(), [&](const auto* each) {
        return each->record.id == choice->head;
    });
    return selected_endpoint{**head, predicted, choice->prediction.first_event_ms};
}

model_supply endpoint_selector::supply(const state::service_rule& service,
                                       const state::model_rule& model,
                                       state::time_point now) const {
    const auto fleet = m_fleet.snapshot();
    auto heads = find_endpoints(*fleet, service, model.name);
    std::erase_if(heads, [&](const auto* head) { return !head->may_take_calls(now); });
    auto candidates = make_candidates(heads, m_loads.all(now));
    state::serving_call usual_call;
    usual_call.prompt_tokens = service.engine->usual_prompt_tokens;
    constexpr double ms_per_s = 1'000;
    const double work_s = call_work_ms(*service.engine, model, usual_call) / ms_per_s;
    for (std::size_t i = 0; i < heads.size(); ++i) {
        if (const auto& limit = heads[i]->call_rate.calls_per_s) {
            candidates[i].usable_share =
                std::min(1.0, std::max(*limit, min_call_rate_per_s) * work_s);
        }
    }
    return measure_supply(*service.engine, model, candidates);
}

std::vector<group_candidate>
endpoint_selector::make_candidates(const std::vector<const runner_view*>& heads,
                                   const loads_by_endpoint& loads) const {
    std::vector<group_candidate> candidates;
    candidates.reserve(heads.size());
    for (const auto* head : heads) {
        const auto load = loads.find(head->record.id);
        candidates.push_back(
            make_candidate(*head, load == loads.end() ? state::endpoint_load{} : load->second));
    }
    return candidates;
}

std::optional<group_choice> endpoint_selector::choose(const state::engine_rule& engine,
                                                      const state::model_rule& model,
                                                      const state::serving_call& call,
                                                      const std::vector<const runner_view*>& heads,
                                                      const loads_by_endpoint& loads) const {
    return m_hooks.choose(engine, model, make_candidates(heads, loads), call);
}

group_candidate endpoint_selector::make_candidate(const runner_view& head,
                                                  const state::endpoint_load& load) const {
    group_candidate candidate;
    candidate.head = head.record.id;
    candidate.time_factor = head.time_factor;
    candidate.zone_round_trip_ms =
        head.record.availability_zone == m_own_host.availability_zone ? 0 : zone_round_trip_ms;
    candidate.load = load;
    return candidate;
}

std::variant<selected_endpoint, selection_failure>
endpoint_selector::select_least_loaded(const state::service_rule& service,
                                       const std::vector<const runner_view*>& runners,
                                       state::time_point now) const {
    const auto loads = m_loads.all(now);
    const runner_view* best = nullptr;
    double best_cost = 0;
    bool some_full = false;
    for (const auto* runner : runners) {
        const auto load = loads.find(runner->record.id);
        const double in_flight =
            load == loads.end() ? 0 : load->second.writing + load->second.waiting;
        const double slots = std::max(1U, runner->record.slots);
        // The zone decides only among endpoints whose calls per slot differ by less than
        // this.
        constexpr double other_zone_cost = 0.1;
        const double cost =
            (in_flight + 1) / slots +
            (runner->record.availability_zone == m_own_host.availability_zone ? 0
                                                                              : other_zone_cost);
        if (in_flight >= call_limit_of(runner->record, service)) {
            some_full = true;
            continue;
        }
        if (best == nullptr || cost < best_cost) {
            best = runner;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return some_full ? selection_failure::all_full : selection_failure::none_in_service;
    }
    return selected_endpoint{*best, 0, 0};
}

bool endpoint_selector::admit_cold_call(const state::service_rule& service,
                                        const runner_view& runner, state::time_point now) {
    if (service.cold_calls_per_s <= 0 || now >= runner.cold_until) {
        return true;
    }
    const auto hosts = m_hooks.host_hashes();
    if (!is_host_list_complete(hosts.size(), m_hooks.host_count())) {
        return false;
    }
    const auto call_limit = cold_call_share(hosts, state::stable_hash(runner.record.id.value()),
                                            service.cold_calls_per_s);
    return m_cold_calls.update(runner.record.id, [&](std::vector<state::time_point>& calls) {
        std::erase_if(calls, [&](state::time_point at) { return now - at >= cold_window; });
        if (calls.size() >= call_limit) {
            return false;
        }
        calls.push_back(now);
        return true;
    });
}

} // namespace savoryrelay::coordination
