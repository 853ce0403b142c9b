// Greedy placement by the shares of the models.
#include "savoryrelay/coordination/serving/group_layout.h"

#include <algorithm>
#include <numeric>

namespace savoryrelay::coordination {

domain_layout plan_layout(const std::vector<state::model_rule>& models,
                          const std::vector<domain_size>& domains) {
    const double all = std::accumulate(domains.begin(), domains.end(), 0.0,
                                       [](double sum, const domain_size& each) {
                                           return sum + static_cast<double>(each.runners);
                                       });
    std::map<std::string, double> held; // runners by model
    domain_layout layout;
    for (const auto& [domain, runners] : domains) {
        auto& groups = layout[domain];
        auto left = runners;
        while (true) {
            // Spares are given up only for a domain's first group.
            const auto kept = groups.empty() ? 0 : spares_per_domain;
            const state::model_rule* best = nullptr;
            for (const auto& model : models) {
                if (model.group_size == 0 || left < model.group_size + kept) {
                    continue;
                }
                const auto lack = [&](const state::model_rule& each) {
                    return each.share * all - held[each.name];
                };
                if (best == nullptr || lack(model) > lack(*best)) {
                    best = &model;
                }
            }
            if (best == nullptr) {
                break;
            }
            groups.push_back(best->name);
            held[best->name] += best->group_size;
            left -= best->group_size;
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
