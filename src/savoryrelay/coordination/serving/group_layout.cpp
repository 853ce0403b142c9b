// Assigns groups to models greedily, by the models' shares of the runners.
#include "savoryrelay/coordination/serving/group_layout.h"

#include <algorithm>
#include <numeric>

namespace savoryrelay::coordination {

domain_layout plan_layout(const std::vector<state::model_rule>& models,
                          const std::vector<domain_size>& domains) {
    const double total_runners = std::accumulate(domains.begin(), domains.end(), 0.0,
                                                 [](double sum, const domain_size& each) {
                                                     return sum + static_cast<double>(each.runners);
                                                 });
    std::map<std::string, double> planned_runners; // runners by model
    domain_layout layout;
    for (const auto& [domain, runners] : domains) {
        auto& groups = layout[domain];
        auto remaining = runners;
        while (true) {
            // Only a domain's first group may use its spares.
            const auto spares = groups.empty() ? 0 : spares_per_domain;
            const state::model_rule* best = nullptr;
            for (const auto& model : models) {
                if (model.group_size == 0 || remaining < model.group_size + spares) {
                    continue;
                }
                const auto deficit = [&](const state::model_rule& each) {
                    return each.share * total_runners - planned_runners[each.name];
                };
                if (best == nullptr || deficit(model) > deficit(*best)) {
                    best = &model;
                }
            }
            if (best == nullptr) {
                break;
            }
            groups.push_back(best->name);
            planned_runners[best->name] += best->group_size;
            remaining -= best->group_size;
        }
    }
    return layout;
}

std::map<std::string, std::size_t> count_groups(const domain_layout& layout) {
    std::map<std::string, std::size_t> counts;
    for (const auto& [domain, groups] : layout) {
        for (const auto& model : groups) {
            ++counts[model];
        }
    }
    return counts;
}

} // namespace savoryrelay::coordination
