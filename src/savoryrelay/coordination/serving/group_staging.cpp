// The loading of weights ahead of the groups that need them.
#include "savoryrelay/coordination/serving/group_steering_step.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {

using state::runner_order_kind;

namespace {

constexpr std::chrono::seconds load_window{1};

} // namespace

bool group_steering::is_ready_for(const runner_view& runner, const std::string& model) {
    return runner.record.has_staged(model) || runner.last_model == model;
}

void group_steering::stage_in_domain(step& work, const state::fabric_domain_id& domain) {
    const auto& free = work.free[domain];
    std::map<std::string, std::size_t> ready; // or getting ready, by model
    std::vector<const runner_view*> empty;
    std::vector<const runner_view*> patient; // free for long, with weights on their hosts
    for (const auto* runner : free) {
        const auto under_way = m_stagings.find(runner->record.id);
        if (under_way != m_stagings.end()) {
            ++ready[under_way->second.model];
            continue;
        }
        if (runner->record.staged.empty()) {
            empty.push_back(runner);
            continue;
        }
        for (const auto& model : work.engine.models) {
            ready[model.name] += is_ready_for(*runner, model.name) ? 1 : 0;
        }
        if (work.now - m_free_since.at(runner->record.id) >= m_settings.restage_after) {
            patient.push_back(runner);
        }
    }

    // A runner without weights completes a group of a wanted model, the busier
    // and the nearer to a group the better; else it becomes a spare for the
    // model that is most common in its domain.
    for (const auto* runner : empty) {
        std::string chosen;
        double best = -1;
        for (const auto& model : work.engine.models) {
            const double held = static_cast<double>(ready[model.name]);
            const double size = std::max(1U, model.group_size);
            const double groups = static_cast<double>(work.groups_by_domain[domain][model.name]);
            const bool completes = work.balance.is_wanted(model.name) && held < size;
            const double load = work.balance.load_of(model.name);
            const double score = (completes ? 1 + held / size + load / (load + 1) : 0) +
                                 groups / 100 +
                                 (completes && work.balance.is_below_target(model.name) ? 1 : 0);
            if (score > best) {
                best = score;
                chosen = model.name;
            }
        }
        stage(work, *runner, chosen);
        ++ready[chosen];
    }

    // Free runners that wait in vain load the weights of a wanted model, when
    // that makes a group and takes none from another model that lacks one.
    for (const auto& model : work.engine.models) {
        if (!work.balance.is_wanted(model.name) || ready[model.name] >= model.group_size) {
            continue;
        }
        // Only from models whose groups are less busy.
        std::vector<const runner_view*> others;
        for (const auto* runner : patient) {
            const bool is_less_busy = std::all_of(
                runner->record.staged.begin(), runner->record.staged.end(),
                [&](const std::string& staged) {
                    return work.balance.load_of(staged) < work.balance.load_of(model.name);
                });
            if (!is_ready_for(*runner, model.name) && is_less_busy) {
                others.push_back(runner);
            }
        }
        const auto lacking = model.group_size - ready[model.name];
        if (others.size() < lacking) {
            continue;
        }
        for (std::size_t i = 0; i < lacking; ++i) {
            stage(work, *others[i], model.name);
        }
        return;
    }
}

void group_steering::stage_second_models(step& work) {
    // The weights on the hosts of a domain, those on their way included.
    std::map<state::fabric_domain_id, std::map<std::string, std::size_t>> held;
    std::vector<const runner_view*> candidates;
    for (const auto& runner : *work.view.fleet) {
        if (runner.record.service != work.view.service->name || !work.is_usable(runner)) {
            continue;
        }
        auto& in_domain = held[runner.record.fabric_domain];
        if (const auto under_way = m_stagings.find(runner.record.id);
            under_way != m_stagings.end()) {
            ++in_domain[under_way->second.model];
            continue;
        }
        const auto& staged = runner.record.staged;
        for (const auto& name : staged) {
            ++in_domain[name];
        }
        const bool holds_other =
            std::any_of(staged.begin(), staged.end(),
                        [&](const std::string& name) { return name != runner.last_model; });
        if (!runner.last_model.empty() && !holds_other) {
            candidates.push_back(&runner);
        }
    }

    // Free runners first: they are what a group is repaired with.
    std::stable_partition(candidates.begin(), candidates.end(),
                          [](const auto* runner) { return !runner->record.membership; });
    const auto most = work.engine.loads_at_once > m_settings.reserved_loads
                          ? work.engine.loads_at_once - m_settings.reserved_loads
                          : 1;
    for (const auto* runner : candidates) {
        if (!work.before_traffic() && m_stagings.size() >= most) {
            return;
        }
        // A runner that starts again has only the weights on its host: those of
        // each group in the domain must stay on some.
        auto& in_domain = held[runner->record.fabric_domain];
        const auto& last = runner->last_model;
        const auto* last_model = work.engine.find_model(last);
        const auto needed = last_model == nullptr
                                ? 0
                                : work.groups_by_domain[runner->record.fabric_domain][last] *
                                      last_model->group_size;
        if (runner->record.has_staged(last) && in_domain[last] <= needed) {
            continue;
        }
        const state::model_rule* best = nullptr;
        for (const auto& model : work.engine.models) {
            const bool helps =
                (work.before_traffic() && !runner->record.membership) ||
                (last_model != nullptr && model.group_size > last_model->group_size) ||
                (work.balance.is_wanted(model.name) &&
                 work.balance.load_of(model.name) > work.balance.load_of(last));
            if (model.name != last && helps &&
                (best == nullptr ||
                 work.balance.load_of(model.name) > work.balance.load_of(best->name))) {
                best = &model;
            }
        }
        if (best != nullptr && stage(work, *runner, best->name)) {
            if (runner->record.has_staged(last)) {
                --in_domain[last];
            }
            ++in_domain[best->name];
        }
    }
}

bool group_steering::stage(step& work, const runner_view& runner, const std::string& name) {
    const auto* model = work.engine.find_model(name);
    if (model == nullptr || m_stagings.contains(runner.record.id) || !may_load(work)) {
        return false;
    }
    const auto sent = work.orders.size();
    order(work, runner, runner_order_kind::stage, {}, 0);
    if (work.orders.size() == sent) {
        return false;
    }
    work.orders.back().model = name;
    m_loads.push_back(work.now);
    m_stagings[runner.record.id] = {name, runner.record.born_ms, work.now,
                                    work.now + model->load_time * 2};
    return true;
}

bool group_steering::may_load(const step& work) {
    if (work.before_traffic()) {
        return true; // the weight store's rate counts from the first call on
    }
    while (!m_loads.empty() && work.now - m_loads.front() >= load_window) {
        m_loads.pop_front();
    }
    return static_cast<double>(m_loads.size() + 1) <=
               work.engine.loads_per_s * m_settings.load_rate_share &&
           m_stagings.size() < work.engine.loads_at_once;
}

} // namespace savoryrelay::coordination
