// Stages weights on the runners' hosts before the groups that need them form.
#include "savoryrelay/coordination/serving/group_reconciler_step.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {

using state::runner_order_kind;

namespace {

constexpr std::chrono::seconds load_window{1};

} // namespace

bool group_reconciler::is_ready_for(const runner_view& runner, const std::string& model) {
    return runner.record.has_staged(model) || runner.last_model == model;
}

void group_reconciler::stage_in_domain(step& current, const state::fabric_domain_id& domain) {
    const auto& free = current.free[domain];
    std::map<std::string, std::size_t> ready; // runners that are or will be ready, by model
    std::vector<const runner_view*> without_weights;
    std::vector<const runner_view*> long_free; // with weights, free for `restage_after` or longer
    for (const auto* runner : free) {
        const auto in_progress = m_stagings.find(runner->record.id);
        if (in_progress != m_stagings.end()) {
            ++ready[in_progress->second.model];
            continue;
        }
        if (runner->record.staged.empty()) {
            without_weights.push_back(runner);
            continue;
        }
        for (const auto& model : current.engine.models) {
            ready[model.name] += is_ready_for(*runner, model.name) ? 1 : 0;
        }
        if (current.now - m_free_since.at(runner->record.id) >= m_settings.restage_after) {
            long_free.push_back(runner);
        }
    }

    // A runner without weights stages a wanted model that still lacks runners for a
    // group here. Models with a higher load and with more ready runners score
    // higher. If no wanted model lacks runners, the runner becomes a spare for the
    // model with the most groups in its domain.
    for (const auto* runner : without_weights) {
        std::string chosen;
        double best = -1;
        for (const auto& model : current.engine.models) {
            const double ready_runners = static_cast<double>(ready[model.name]);
            const double size = std::max(1U, model.group_size);
            const double groups = static_cast<double>(current.groups_by_domain[domain][model.name]);
            const bool lacks_runners =
                current.balance.is_wanted(model.name) && ready_runners < size;
            const double load = current.balance.load_of(model.name);
            const double score =
                (lacks_runners ? 1 + ready_runners / size + load / (load + 1) : 0) + groups / 100 +
                (lacks_runners && current.balance.is_below_target(model.name) ? 1 : 0);
            if (score > best) {
                best = score;
                chosen = model.name;
            }
        }
        stage(current, *runner, chosen);
        ++ready[chosen];
    }

    // Runners that have been free for long load the weights of a wanted model, if
    // this completes a group and takes no runners from a model that needs them more.
    for (const auto& model : current.engine.models) {
        if (!current.balance.is_wanted(model.name) || ready[model.name] >= model.group_size) {
            continue;
        }
        // Take only runners whose staged models all have a lower load.
        std::vector<const runner_view*> others;
        for (const auto* runner : long_free) {
            const bool is_less_busy = std::all_of(
                runner->record.staged.begin(), runner->record.staged.end(),
                [&](const std::string& staged) {
                    return current.balance.load_of(staged) < current.balance.load_of(model.name);
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
            stage(current, *others[i], model.name);
        }
        return;
    }
}

void group_reconciler::stage_second_models(step& current) {
    // Count the staged weights in each domain, including loads in progress.
    std::map<state::fabric_domain_id, std::map<std::string, std::size_t>> staged_counts;
    std::vector<const runner_view*> candidates;
    for (const auto& runner : *current.input.fleet) {
        if (runner.record.service != current.input.service->name || !current.is_usable(runner)) {
            continue;
        }
        auto& in_domain = staged_counts[runner.record.fabric_domain];
        if (const auto in_progress = m_stagings.find(runner.record.id);
            in_progress != m_stagings.end()) {
            ++in_domain[in_progress->second.model];
            continue;
        }
        const auto& staged = runner.record.staged;
        for (const auto& name : staged) {
            ++in_domain[name];
        }
        const bool has_second_model =
            std::any_of(staged.begin(), staged.end(),
                        [&](const std::string& name) { return name != runner.last_model; });
        if (!runner.last_model.empty() && !has_second_model) {
            candidates.push_back(&runner);
        }
    }

    // Free runners come first, because they replace lost members of groups.
    std::stable_partition(candidates.begin(), candidates.end(),
                          [](const auto* runner) { return !runner->record.membership; });
    const auto max_loads = current.engine.loads_at_once > m_settings.reserved_loads
                               ? current.engine.loads_at_once - m_settings.reserved_loads
                               : 1;
    for (const auto* runner : candidates) {
        if (!current.before_traffic() && m_stagings.size() >= max_loads) {
            return;
        }
        // A restarted runner has only the weights that are staged on its host.
        // Therefore as many hosts of the domain must keep a model staged as its groups
        // there have members.
        auto& in_domain = staged_counts[runner->record.fabric_domain];
        const auto& last = runner->last_model;
        const auto* last_model = current.engine.find_model(last);
        const auto needed = last_model == nullptr
                                ? 0
                                : current.groups_by_domain[runner->record.fabric_domain][last] *
                                      last_model->group_size;
        if (runner->record.has_staged(last) && in_domain[last] <= needed) {
            continue;
        }
        const state::model_rule* best = nullptr;
        for (const auto& model : current.engine.models) {
            const bool is_worth_staging =
                (current.before_traffic() && !runner->record.membership) ||
                (last_model != nullptr && model.group_size > last_model->group_size) ||
                (current.balance.is_wanted(model.name) &&
                 current.balance.load_of(model.name) > current.balance.load_of(last));
            if (model.name != last && is_worth_staging &&
                (best == nullptr ||
                 current.balance.load_of(model.name) > current.balance.load_of(best->name))) {
                best = &model;
            }
        }
        if (best != nullptr && stage(current, *runner, best->name)) {
            if (runner->record.has_staged(last)) {
                --in_domain[last];
            }
            ++in_domain[best->name];
        }
    }
}

bool group_reconciler::stage(step& current, const runner_view& runner, const std::string& name) {
    const auto* model = current.engine.find_model(name);
    if (model == nullptr || m_stagings.contains(runner.record.id) || !may_load(current)) {
        return false;
    }
    const auto orders_before = current.orders.size();
    add_order(current, runner, runner_order_kind::stage, {}, 0);
    if (current.orders.size() == orders_before) {
        return false;
    }
    current.orders.back().model = name;
    m_loads.push_back(current.now);
    m_stagings[runner.record.id] = {name, runner.record.started_ms, current.now,
                                    current.now + model->load_time * 2};
    return true;
}

bool group_reconciler::may_load(const step& current) {
    if (current.before_traffic()) {
        return true; // the weight store's rate limit applies only after the first call
    }
    while (!m_loads.empty() && current.now - m_loads.front() >= load_window) {
        m_loads.pop_front();
    }
    return static_cast<double>(m_loads.size() + 1) <=
               current.engine.loads_per_s * m_settings.load_rate_share &&
           m_stagings.size() < current.engine.loads_at_once;
}

} // namespace savoryrelay::coordination
