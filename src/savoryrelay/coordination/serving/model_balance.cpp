// Compares the work of each model with the number of its groups.
#include "savoryrelay/coordination/serving/model_balance.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

// A model without calls counts as having this much work, so that it gets a group.
constexpr double min_work = 0.05;
// Below this total of work, measured shares are not reliable.
constexpr double min_measured_work = 1;
// A model keeps at least this share of the runners.
constexpr double min_share = 0.1;

} // namespace

double model_balance::groups_of(const std::string& model) const {
    const auto found = m_groups.find(model);
    return found == m_groups.end() ? 0 : found->second;
}

double model_balance::work_of(const std::string& model) const {
    const auto found = m_work.find(model);
    return std::max(found == m_work.end() ? 0 : found->second, min_work);
}

double model_balance::load_of(const std::string& model) const {
    constexpr double next_group_part = 0.5;
    return work_of(model) / (next_group_part + groups_of(model));
}

bool model_balance::is_below_target(const std::string& model) const {
    const auto target = m_targets.find(model);
    return target != m_targets.end() && groups_of(model) < static_cast<double>(target->second);
}

bool model_balance::is_wanted(const std::string& model) const {
    return is_below_target(model) || work_of(model) > busy_share * groups_of(model);
}

bool model_balance::is_conversion_worthwhile(const std::string& losing, std::size_t count,
                                             const std::string& gaining) const {
    const double remaining_groups = groups_of(losing) - static_cast<double>(count);
    // A model without groups counts as having half a group.
    constexpr double min_groups = 0.5;
    const double utilization = work_of(gaining) / std::max(groups_of(gaining), min_groups);
    return remaining_groups >= 1 && utilization > busy_share &&
           work_of(losing) / remaining_groups < conversion_margin * utilization;
}

std::vector<state::model_rule>
model_balance::with_measured_shares(std::vector<state::model_rule> models) const {
    double all_work = 0;
    double all_runners = 0;
    for (const auto& model : models) {
        all_work += work_of(model.name);
        all_runners += work_of(model.name) * model.group_size;
    }
    if (all_work < min_measured_work) {
        return models;
    }
    for (auto& model : models) {
        model.share = std::max(min_share, work_of(model.name) * model.group_size / all_runners);
    }
    return models;
}

std::optional<conversion> choose_conversion(const state::engine_rule& engine,
                                            const model_balance& balance,
                                            const std::vector<domain_inventory>& domains) {
    std::optional<conversion> best;
    double best_load = 0;
    for (const auto& model : engine.models) {
        const double load = balance.load_of(model.name);
        if (best && load <= best_load) {
            continue;
        }
        std::optional<conversion> fewest;
        for (const auto& inventory : domains) {
            const auto found = inventory.free_ready.find(model.name);
            std::size_t runners = found == inventory.free_ready.end() ? 0 : found->second;
            conversion candidate{inventory.domain, model.name, {}};
            std::map<std::string, std::size_t> closed;
            for (const auto& group : inventory.groups) {
                if (runners >= model.group_size) {
                    break;
                }
                const auto ready = group.ready.find(model.name);
                if (group.model != model.name && ready != group.ready.end() && ready->second > 0 &&
                    balance.is_conversion_worthwhile(group.model, closed[group.model] + 1,
                                                     model.name)) {
                    ++closed[group.model];
                    runners += ready->second;
                    candidate.heads.push_back(group.head);
                }
            }
            const bool is_enough = runners >= model.group_size && !candidate.heads.empty();
            if (is_enough && (!fewest || candidate.heads.size() < fewest->heads.size())) {
                fewest = std::move(candidate);
            }
        }
        if (fewest) {
            best = std::move(fewest);
            best_load = load;
        }
    }
    return best;
}

} // namespace savoryrelay::coordination
