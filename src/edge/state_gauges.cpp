// Copies the shared state into gauges.
#include "state_gauges.h"

#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace savoryrelay::edge {

void set_state_gauges(shared_state& shared, bool is_controller, state::time_point now) {
    auto& metrics = shared.metrics;
    const auto set = [&](const std::string& name, auto value,
                         const state::metric_labels& labels = {}) {
        metrics.gauge_of(name, labels).set(static_cast<std::int64_t>(value));
    };
    const auto configuration = shared.configuration.load();
    set("savoryrelay_configuration_version", configuration->version);
    set("savoryrelay_store_era", shared.runners.synced_version().era);
    set("savoryrelay_operators_version", shared.operators.synced_version().number);
    set("savoryrelay_runners_version", shared.runners.synced_version().number);
    set("savoryrelay_store_reachable", shared.is_store_reachable.load() ? 1 : 0);
    set("savoryrelay_hosts", shared.host_count.load());
    set("savoryrelay_controller", is_controller ? 1 : 0);
    set("savoryrelay_cut_off", shared.reach.is_cut_off() ? 1 : 0);
    set("savoryrelay_fingerprints_quarantined", shared.crashes.quarantined_count());

    // Each model and state gets a value, so that a gauge falls to 0 when its groups are gone.
    std::map<std::pair<std::string, std::string>, std::int64_t> groups;
    std::int64_t listed = 0;
    std::int64_t silent = 0;
    std::int64_t limited = 0;
    std::map<coordination::exclusion_reason, std::int64_t> excluded;
    const auto fleet = shared.fleet.snapshot();
    for (const auto& runner : *fleet) {
        listed += runner.is_listed(now) ? 1 : 0;
        silent += runner.silent_since ? 1 : 0;
        limited += runner.is_listed(now) && runner.call_rate.calls_per_s ? 1 : 0;
        for (const auto& row : state::enum_table<coordination::exclusion_reason>::rows) {
            excluded[row.value] +=
                runner.is_listed(now) && runner.exclusions.contains(row.value, now) ? 1 : 0;
        }
        if (runner.record.is_head()) {
            ++groups[{runner.record.model,
                      std::string(state::to_name(runner.record.membership->state))}];
        }
    }
    set("savoryrelay_runners_listed", listed);
    set("savoryrelay_runners_silent", silent);
    set("savoryrelay_runners_limited", limited);
    for (const auto& row : state::enum_table<coordination::exclusion_reason>::rows) {
        set("savoryrelay_runners_excluded", excluded[row.value],
            {{"reason", std::string(row.name)}});
    }
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            for (const auto& row : state::enum_table<state::membership_state>::rows) {
                const std::string state_name(row.name);
                set("savoryrelay_groups", groups[{model.name, state_name}],
                    {{"model", model.name}, {"state", state_name}});
            }
        }
    }
    std::int64_t waiting = 0;
    std::int64_t writing = 0;
    for (const auto& entry : shared.loads.own(now)) {
        waiting += entry.load.waiting;
        writing += entry.load.writing;
    }
    set("savoryrelay_calls_waiting", waiting);
    set("savoryrelay_calls_writing", writing);
}

void set_account_gauges(state::metrics& metrics, const coordination::memory_account& account) {
    const auto set = [&](const std::string& name, auto value,
                         const state::metric_labels& labels = {}) {
        metrics.gauge_of(name, labels).set(static_cast<std::int64_t>(value));
    };
    set("savoryrelay_client_memory_bytes", account.held_bytes());
    set("savoryrelay_client_memory_budget_bytes", account.budget_bytes());
    set("savoryrelay_connections_closed", account.evicted_for_memory(), {{"reason", "memory"}});
    set("savoryrelay_connections_closed", account.evicted_for_descriptors(),
        {{"reason", "descriptors"}});
    for (const auto& row : state::enum_table<coordination::listener>::rows) {
        set("savoryrelay_connections", account.connections(row.value),
            {{"listener", std::string(row.name)}});
    }
}

void set_admission_gauges(shared_state& shared, coordination::serving_admission& admission,
                          state::time_point now) {
    const auto set_percent = [&](const std::string& name, double share,
                                 const state::metric_labels& labels) {
        constexpr double percent = 100;
        shared.metrics.gauge_of(name, labels).set(std::llround(share * percent));
    };
    const auto configuration = shared.configuration.load();
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            const auto plan = admission.plan_of(service, model, now);
            for (const auto& row : state::enum_table<state::call_urgency>::rows) {
                set_percent("savoryrelay_admitted_percent",
                            state::amount_of(plan.fractions, row.value),
                            {{"model", model.name}, {"urgency", std::string(row.name)}});
            }
            set_percent("savoryrelay_model_occupancy_percent", plan.supply.occupancy,
                        {{"model", model.name}});
            set_percent("savoryrelay_model_demand_percent",
                        plan.supply.groups > 0 ? plan.demand / plan.supply.groups : 0,
                        {{"model", model.name}});
        }
    }
}

} // namespace savoryrelay::edge
