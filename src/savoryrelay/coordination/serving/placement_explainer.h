// Explains where a call would go now: the endpoint that would be selected, and what speaks
// for or against each endpoint of its service. Sends nothing and counts nothing.
#pragma once

#include "savoryrelay/coordination/serving/endpoint_selector.h"
#include "savoryrelay/state/serving/placement_report.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <functional>
#include <memory>
#include <set>

namespace savoryrelay::coordination {

/// Returns the availability zones that are out of service.
using zones_hook = std::function<state::snapshot<std::set<state::availability_zone_id>>()>;

/// Explains the placing of calls on one host. Thread-safe.
class placement_explainer {
public:
    placement_explainer(const fleet_table& fleet, const load_tracker& loads,
                        const endpoint_selector& selector, std::string own_host,
                        zones_hook zones_out_of_service)
        : m_fleet(fleet), m_loads(loads), m_selector(selector), m_own_host(std::move(own_host)),
          m_zones_out_of_service(std::move(zones_out_of_service)) {}

    /// Returns where `call` would go under `configuration` if it arrived now. Hosts of large
    /// fleets compare random samples of the groups, so a second call may go elsewhere.
    [[nodiscard]] state::placement_report explain(const state::serving_configuration& configuration,
                                                  const state::serving_call& call,
                                                  state::time_point now) const;

private:
    [[nodiscard]] state::service_placement explain_service(const state::service_rule& service,
                                                           const state::route_rule& route,
                                                           const state::serving_call& call,
                                                           state::time_point now) const;
    [[nodiscard]] state::placement_verdict judge(const runner_view& runner,
                                                 const state::service_rule& service,
                                                 const state::serving_call& call,
                                                 const state::endpoint_load& load,
                                                 state::time_point now) const;

    const fleet_table& m_fleet;
    const load_tracker& m_loads;
    const endpoint_selector& m_selector;
    const std::string m_own_host;
    const zones_hook m_zones_out_of_service;
};

} // namespace savoryrelay::coordination
