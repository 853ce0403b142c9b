// Forms groups: plans targets, chooses members, converts groups and warms up spares.
#include "savoryrelay/coordination/serving/group_reconciler_step.h"

#include <algorithm>

namespace savoryrelay::coordination {

using state::membership_state;
using state::runner_order_kind;

void group_reconciler::advance_formations(step& current) {
    // A formation ends when a member is lost, broken or in another group. It also ends when
    // a member has not joined yet and the lease has been acquired again since the formation
    // began.
    // The members that have joined are then ordered to leave.
    const auto end_formation = [&](const formation& forming) {
        m_closed.insert(forming.group);
        return true;
    };
    std::erase_if(m_formations, [&](formation& forming) {
        bool all_ready = true;
        for (const auto& id : forming.members) {
            const auto* runner = current.find(id);
            if (runner == nullptr || runner->record.started_ms != forming.start_times.at(id) ||
                !current.is_usable(*runner)) {
                return end_formation(forming);
            }
            const auto& membership = runner->record.membership;
            const bool is_member = membership && membership->group == forming.group &&
                                   membership->epoch == forming.epoch;
            if (is_member && membership->state == membership_state::broken) {
                return end_formation(forming);
            }
            if (!is_member) {
                all_ready = false;
                if (membership) {
                    // An order of the former lease holder reached the runner first.
                    return end_formation(forming);
                }
                if (is_settled(id, current.now)) {
                    if (current.input.epoch != forming.epoch) {
                        return end_formation(forming);
                    }
                    const auto orders_before = current.orders.size();
                    add_order(current, *runner, runner_order_kind::join, forming.group,
                              forming.epoch);
                    if (current.orders.size() > orders_before) {
                        current.orders.back().model = forming.model;
                        current.orders.back().members = forming.members;
                    }
                }
            } else if (membership->state == membership_state::joining) {
                all_ready = false;
            }
        }

        // An open head completes the formation. From then on, the reports of the
        // members show the group.
        const auto& head = *current.find(forming.members.front());
        if (head.record.is_open_head() && head.record.membership->group == forming.group) {
            return true;
        }
        if (all_ready && forming.is_warm_up) {
            return end_formation(forming);
        }
        if (all_ready) {
            add_order(current, head, runner_order_kind::open, forming.group, forming.epoch);
        }
        return false;
    });
}

void group_reconciler::form_groups(step& current) {
    if (current.usable_runners > m_last_usable_runners) {
        m_last_growth_at = current.now;
    }
    m_last_usable_runners = current.usable_runners;
    if (current.before_traffic() && current.now - m_last_growth_at < m_settings.fleet_settle_time) {
        return;
    }
    plan_targets(current);

    // Free runners are neither in a group nor in a formation.
    std::set<state::endpoint_id> taken;
    for (const auto& forming : m_formations) {
        taken.insert(forming.members.begin(), forming.members.end());
    }
    std::set<state::endpoint_id> free_now;
    for (const auto& runner : *current.input.fleet) {
        const auto& id = runner.record.id;
        if (runner.record.service != current.input.service->name || !current.is_usable(runner) ||
            runner.record.membership || taken.contains(id)) {
            continue;
        }
        free_now.insert(id);
        m_free_since.try_emplace(id, current.now);
        if (is_settled(id, current.now) && !runner.has_unconfirmed_order()) {
            current.free[runner.record.fabric_domain].push_back(&runner);
        }
    }
    std::erase_if(m_free_since, [&](const auto& entry) { return !free_now.contains(entry.first); });
    std::erase_if(m_stagings, [&](const auto& entry) {
        const auto* runner = current.find(entry.first);
        if (current.now >= entry.second.until || runner == nullptr ||
            runner->record.started_ms != entry.second.started_ms) {
            return true;
        }
        // Remove the entry when the weights are staged, or when a current report shows
        // that the order was lost.
        const bool is_report_current =
            current.now - entry.second.at >= m_settings.staging_report_delay &&
            current.has_fresh_report(*runner) && !runner->has_unconfirmed_order();
        return runner->record.has_staged(entry.second.model) ||
               (is_report_current && !runner->is_order_in_progress);
    });
    for (const auto& entry : std::map(current.free)) {
        if (current.before_traffic()) {
            form_first_groups(current, entry.first);
        } else {
            form_in_domain(current, entry.first);
        }
        warm_up_spares(current, entry.first);
    }
    convert_groups(current);
    stage_second_models(current);
}

void group_reconciler::plan_targets(step& current) {
    // Plan the domains of the zones in turn, so that the groups of a model are not
    // all in one zone.
    std::map<state::fabric_domain_id, std::size_t> sizes;
    std::map<state::fabric_domain_id, state::availability_zone_id> zones;
    for (const auto& runner : *current.input.fleet) {
        if (runner.record.service == current.input.service->name && current.is_usable(runner)) {
            ++sizes[runner.record.fabric_domain];
            zones[runner.record.fabric_domain] = runner.record.availability_zone;
        }
    }
    std::map<state::availability_zone_id, std::size_t> domains_by_zone;
    std::vector<std::pair<std::size_t, domain_size>> ordered;
    for (const auto& [domain, runners] : sizes) {
        ordered.emplace_back(domains_by_zone[zones[domain]]++, domain_size{domain, runners});
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<domain_size> domains;
    for (auto& entry : ordered) {
        domains.push_back(std::move(entry.second));
    }
    current.layout =
        plan_layout(current.balance.with_measured_shares(current.engine.models), domains);
    current.balance.set_targets(count_groups(current.layout));
}

void group_reconciler::form_first_groups(step& current, const state::fabric_domain_id& domain) {
    auto& free = current.free[domain];
    const auto planned = current.layout.find(domain);
    if (planned == current.layout.end()) {
        return;
    }
    std::map<std::string, std::size_t> to_form;
    for (const auto& model : planned->second) {
        ++to_form[model];
    }
    for (auto& [name, count] : to_form) {
        const auto formed = current.groups_by_domain[domain][name];
        const auto* model = current.engine.find_model(name);
        for (auto i = formed; i < count && free.size() >= model->group_size; ++i) {
            const std::vector<const runner_view*> members(free.begin(),
                                                          free.begin() + model->group_size);
            free.erase(free.begin(), free.begin() + model->group_size);
            start_formation(current, *model, members);
        }
    }

    // Spares load the model with the largest groups by joining a group of one
    // runner. They stage a second model later.
    const state::model_rule* largest = nullptr;
    for (const auto& name : planned->second) {
        const auto* model = current.engine.find_model(name);
        if (largest == nullptr || model->group_size > largest->group_size) {
            largest = model;
        }
    }
    std::erase_if(free, [&](const runner_view* runner) {
        if (largest == nullptr || !runner->record.staged.empty()) {
            return false;
        }
        start_formation(current, *largest, {runner}, true);
        return true;
    });
}

void group_reconciler::form_in_domain(step& current, const state::fabric_domain_id& domain) {
    while (form_ready_group(current, domain)) {
    }
    stage_in_domain(current, domain);
}

bool group_reconciler::needs_runners_of_busier(const step& current,
                                               const state::fabric_domain_id& domain,
                                               const std::string& model) const {
    const double load = current.balance.load_of(model);
    for (const auto& other : current.engine.models) {
        if (!current.balance.is_wanted(other.name) || current.balance.load_of(other.name) <= load) {
            continue;
        }
        const auto& free = current.free.at(domain);
        const bool is_needed = std::any_of(free.begin(), free.end(), [&](const auto* runner) {
            return is_ready_for(*runner, other.name) && is_ready_for(*runner, model) &&
                   current.now - m_free_since.at(runner->record.id) < m_settings.restage_after;
        });
        if (is_needed) {
            return true;
        }
    }
    return false;
}

bool group_reconciler::form_ready_group(step& current, const state::fabric_domain_id& domain) {
    // Choose the wanted model with the busiest groups among those that the free
    // runners can form without loading weights.
    auto& free = current.free[domain];
    const state::model_rule* best = nullptr;
    double best_load = 0;
    for (const auto& model : current.engine.models) {
        // Runners freed by a conversion are reserved for its model.
        if (m_conversion && m_conversion->domain == domain && m_conversion->model != model.name) {
            continue;
        }
        const auto ready = std::count_if(free.begin(), free.end(), [&](const auto* runner) {
            return is_ready_for(*runner, model.name);
        });
        if (ready < static_cast<std::ptrdiff_t>(model.group_size) || model.group_size == 0 ||
            !current.balance.is_wanted(model.name) ||
            needs_runners_of_busier(current, domain, model.name)) {
            continue;
        }
        constexpr double below_target_bonus = 1'000; // puts models below target ahead of busy ones
        const double load = current.balance.load_of(model.name) +
                            (current.balance.is_below_target(model.name) ? below_target_bonus : 0);
        if (best == nullptr || load > best_load) {
            best = &model;
            best_load = load;
        }
    }
    if (best == nullptr) {
        return false;
    }

    // Runners whose last group served this model can join fastest.
    const auto served_model_last = [&](const runner_view* runner) {
        return runner->last_model == best->name;
    };
    std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
        return served_model_last(left) && !served_model_last(right);
    });
    std::vector<const runner_view*> members;
    std::erase_if(free, [&](const runner_view* runner) {
        if (members.size() == best->group_size || !is_ready_for(*runner, best->name)) {
            return false;
        }
        members.push_back(runner);
        return true;
    });
    if (m_conversion && m_conversion->domain == domain) {
        m_conversion.reset();
    }
    start_formation(current, *best, members);
    return true;
}

void group_reconciler::convert_groups(step& current) {
    if (m_conversion && current.now >= m_conversion_until) {
        m_conversion.reset();
    }
    if (m_conversion || current.before_traffic()) {
        return;
    }
    std::map<state::fabric_domain_id, domain_inventory> inventories;
    for (const auto& [domain, runners] : current.free) {
        for (const auto* runner : runners) {
            for (const auto& model : current.engine.models) {
                inventories[domain].free_ready[model.name] +=
                    is_ready_for(*runner, model.name) ? 1 : 0;
            }
        }
    }
    for (const auto& [name, group] : current.groups) {
        if (group.head == nullptr || !group.head->record.is_open_head() ||
            m_closed.contains(name)) {
            continue;
        }
        convertible_group candidate{group.head->record.id, group.head->record.model, {}};
        for (const auto& model : current.engine.models) {
            candidate.ready[model.name] = static_cast<std::size_t>(
                std::count_if(group.members.begin(), group.members.end(), [&](const auto* member) {
                    return current.is_usable(*member) && is_ready_for(*member, model.name);
                }));
        }
        inventories[group.head->record.fabric_domain].groups.push_back(std::move(candidate));
    }
    std::vector<domain_inventory> domains;
    for (auto& [domain, inventory] : inventories) {
        inventory.domain = domain;
        domains.push_back(std::move(inventory));
    }
    m_conversion = choose_conversion(current.engine, current.balance, domains);
    if (!m_conversion) {
        return;
    }
    m_conversion_until = current.now + m_settings.conversion_timeout;
    for (const auto& id : m_conversion->heads) {
        const auto& head = *current.find(id);
        add_order(current, head, runner_order_kind::close_after_queue,
                  head.record.membership->group, head.record.membership->epoch);
    }
}

void group_reconciler::warm_up_spares(step& current, const state::fabric_domain_id& domain) {
    auto& free = current.free[domain];
    std::erase_if(free, [&](const runner_view* runner) {
        const auto& staged = runner->record.staged;
        const auto* model = staged.empty() ? nullptr : current.engine.find_model(staged.front());
        if (model == nullptr || !runner->last_model.empty() ||
            m_stagings.contains(runner->record.id)) {
            return false;
        }
        start_formation(current, *model, {runner}, true);
        return true;
    });
}

void group_reconciler::start_formation(step& current, const state::model_rule& model,
                                       const std::vector<const runner_view*>& members,
                                       bool is_warm_up) {
    formation forming;
    forming.is_warm_up = is_warm_up;
    forming.group =
        "g" + std::to_string(current.input.epoch) + "-" + std::to_string(m_next_group++);
    forming.epoch = current.input.epoch;
    forming.model = model.name;
    forming.domain = members.front()->record.fabric_domain;
    for (const auto* runner : members) {
        forming.members.push_back(runner->record.id);
        forming.start_times[runner->record.id] = runner->record.started_ms;
    }
    // The head takes the calls, and a cold one takes few.
    const auto is_warm = [&](const auto* runner) { return runner->cold_until <= current.now; };
    const auto warm = std::find_if(members.begin(), members.end(), is_warm);
    if (warm != members.end()) {
        std::iter_swap(forming.members.begin(),
                       forming.members.begin() + std::distance(members.begin(), warm));
    }
    for (const auto* runner : members) {
        const auto orders_before = current.orders.size();
        add_order(current, *runner, runner_order_kind::join, forming.group, forming.epoch);
        if (current.orders.size() > orders_before) {
            current.orders.back().model = model.name;
            current.orders.back().members = forming.members;
        }
    }
    if (!is_warm_up) {
        current.balance.add_group(model.name);
        ++current.groups_by_domain[forming.domain][model.name];
    }
    m_formations.push_back(std::move(forming));
}

} // namespace savoryrelay::coordination
