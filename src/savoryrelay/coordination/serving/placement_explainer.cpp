// Judges each endpoint of a service by the rules of the selector.
#include "savoryrelay/coordination/serving/placement_explainer.h"

#include <algorithm>
#include <tuple>

namespace savoryrelay::coordination {

using state::placement_verdict;

state::placement_report
placement_explainer::explain(const state::serving_configuration& configuration,
                             const state::serving_call& call, state::time_point now) const {
    state::placement_report report;
    report.host = m_own_host;
    report.configuration = configuration.version;
    if (configuration.version == 0) {
        report.refusal = "no_configuration";
        return report;
    }
    const auto* route = configuration.find_route(call.host, call.path);
    if (route == nullptr) {
        report.refusal = "no_route";
        return report;
    }
    report.route = route->name;
    if (!route->is_public && configuration.requires_keys) {
        const auto* customer = configuration.find_customer(call.key);
        if (customer == nullptr) {
            report.refusal = "unknown_key";
            return report;
        }
        report.customer = customer->id.value();
    }
    for (const auto& share : route->services) {
        const auto found = configuration.services.find(share.service);
        state::service_placement placement;
        if (found == configuration.services.end()) {
            placement.failure = "unknown_service";
        } else {
            placement = explain_service(found->second, *route, call, now);
        }
        placement.service = share.service;
        placement.weight = share.weight;
        report.services.push_back(std::move(placement));
    }
    return report;
}

state::service_placement placement_explainer::explain_service(const state::service_rule& service,
                                                              const state::route_rule& route,
                                                              const state::serving_call& call,
                                                              state::time_point now) const {
    state::service_placement placement;
    const auto loads = m_loads.all(now);
    const auto* model = service.engine ? service.engine->find_model(call.model) : nullptr;
    const auto fleet = m_fleet.snapshot();
    for (const auto& runner : *fleet) {
        const auto& record = runner.record;
        const bool is_group_member = service.engine && record.membership && !record.is_head();
        if (record.service != service.name || is_group_member) {
            continue;
        }
        state::placement_candidate candidate;
        candidate.id = record.id;
        candidate.availability_zone = record.availability_zone;
        candidate.time_factor = runner.time_factor;
        if (const auto load = loads.find(record.id); load != loads.end()) {
            candidate.load = load->second;
        }
        candidate.verdict = judge(runner, service, call, candidate.load, now);
        if (model != nullptr && record.model == model->name) {
            const auto predicted =
                m_selector.predict_at(*service.engine, *model, runner, candidate.load, call);
            candidate.first_event_ms = predicted.first_event_ms;
            candidate.event_gap_ms = predicted.event_gap_ms;
        }
        placement.candidates.push_back(std::move(candidate));
    }
    std::stable_sort(placement.candidates.begin(), placement.candidates.end(),
                     [](const auto& left, const auto& right) {
                         return std::tuple(left.verdict, left.first_event_ms) <
                                std::tuple(right.verdict, right.first_event_ms);
                     });

    const auto selected = m_selector.preview(service, route, call, now);
    if (const auto* endpoint = std::get_if<selected_endpoint>(&selected)) {
        placement.endpoint = endpoint->runner.record.id.value();
        placement.first_event_ms = endpoint->predicted_first_event_ms;
    } else {
        placement.failure = state::to_name(std::get<selection_failure>(selected));
    }
    return placement;
}

placement_verdict placement_explainer::judge(const runner_view& runner,
                                             const state::service_rule& service,
                                             const state::serving_call& call,
                                             const state::endpoint_load& load,
                                             state::time_point now) const {
    if (service.engine && !runner.record.is_open_head()) {
        return placement_verdict::not_serving;
    }
    if (service.engine && runner.record.model != call.model) {
        return placement_verdict::other_model;
    }
    const auto out_of_service = m_zones_out_of_service();
    if (out_of_service->contains(runner.record.availability_zone)) {
        return placement_verdict::zone_in_drain;
    }
    if (!runner.is_listed(now)) {
        return placement_verdict::unlisted;
    }
    if (runner.silent_since) {
        return placement_verdict::silent;
    }
    if (!runner.may_take_calls(now)) {
        return placement_verdict::excluded;
    }
    const auto in_flight = load.writing + load.waiting;
    return in_flight >= call_limit_of(runner.record, service) ? placement_verdict::full
                                                              : placement_verdict::available;
}

} // namespace savoryrelay::coordination
