// The forming of groups: targets, members, conversions and warm spares.
#include "savoryrelay/coordination/serving/group_steering_step.h"

#include <algorithm>

namespace savoryrelay::coordination {

using state::membership_state;
using state::runner_order_kind;

void group_steering::advance_formations(step& work) {
    // A member that is lost, or was taken by a rival's order, ends a formation;
    // what there is of its group is dissolved.
    const auto ends = [&](const formation& forming) {
        m_closed.insert(forming.group);
        return true;
    };
    std::erase_if(m_formations, [&](formation& forming) {
        bool all_ready = true;
        for (const auto& id : forming.members) {
            const auto* runner = work.find(id);
            if (runner == nullptr || runner->record.born_ms != forming.lives.at(id) ||
                !work.is_usable(*runner)) {
                return ends(forming);
            }
            const auto& membership = runner->record.membership;
            const bool is_member = membership && membership->group == forming.group &&
                                   membership->epoch == forming.epoch;
            if (is_member && membership->state == membership_state::broken) {
                return ends(forming);
            }
            if (!is_member) {
                all_ready = false;
                if (is_settled(id, work.now)) {
                    if (work.view.epoch != forming.epoch) {
                        return ends(forming);
                    }
                    const auto sent = work.orders.size();
                    order(work, *runner, runner_order_kind::join, forming.group, forming.epoch);
                    if (work.orders.size() > sent) {
                        work.orders.back().model = forming.model;
                        work.orders.back().members = forming.members;
                    }
                }
            } else if (membership->state == membership_state::joining) {
                all_ready = false;
            }
        }

        // The head serves: from here on the group stands by its reports.
        const auto& head = *work.find(forming.members.front());
        if (head.record.is_open_head() && head.record.membership->group == forming.group) {
            return true;
        }
        if (all_ready && forming.is_warm_up) {
            return ends(forming);
        }
        if (all_ready) {
            order(work, head, runner_order_kind::open, forming.group, forming.epoch);
        }
        return false;
    });
}

void group_steering::form_groups(step& work) {
    if (work.usable_runners > m_known_runners) {
        m_grown_at = work.now;
    }
    m_known_runners = work.usable_runners;
    if (work.before_traffic() && work.now - m_grown_at < m_settings.quiet_fleet) {
        return;
    }
    plan_targets(work);

    // Free are those that are neither in a group nor chosen for one.
    std::set<state::endpoint_id> taken;
    for (const auto& forming : m_formations) {
        taken.insert(forming.members.begin(), forming.members.end());
    }
    std::set<state::endpoint_id> free_now;
    for (const auto& runner : *work.view.fleet) {
        const auto& id = runner.record.id;
        if (runner.record.service != work.view.service->name || !work.is_usable(runner) ||
            runner.record.membership || taken.contains(id)) {
            continue;
        }
        free_now.insert(id);
        m_free_since.try_emplace(id, work.now);
        if (is_settled(id, work.now) && !work.is_unclear(runner)) {
            work.free[runner.record.fabric_domain].push_back(&runner);
        }
    }
    std::erase_if(m_free_since, [&](const auto& entry) { return !free_now.contains(entry.first); });
    std::erase_if(m_stagings, [&](const auto& entry) {
        const auto* runner = work.find(entry.first);
        if (work.now >= entry.second.until || runner == nullptr ||
            runner->record.born_ms != entry.second.born_ms) {
            return true;
        }
        // Done, or the order was lost.
        const bool is_shown = work.now - entry.second.at >= m_settings.staging_shows &&
                              work.has_fresh_report(*runner) && !work.is_unclear(*runner);
        return runner->record.has_staged(entry.second.model) ||
               (is_shown && !runner->is_order_in_progress);
    });
    for (const auto& entry : std::map(work.free)) {
        if (work.before_traffic()) {
            form_first_groups(work, entry.first);
        } else {
            form_in_domain(work, entry.first);
        }
        warm_up_spares(work, entry.first);
    }
    convert_groups(work);
    stage_second_models(work);
}

void group_steering::plan_targets(step& work) {
    // Domains of all zones in turn, so that no zone holds one model alone.
    std::map<state::fabric_domain_id, std::size_t> sizes;
    std::map<state::fabric_domain_id, state::availability_zone_id> zones;
    for (const auto& runner : *work.view.fleet) {
        if (runner.record.service == work.view.service->name && work.is_usable(runner)) {
            ++sizes[runner.record.fabric_domain];
            zones[runner.record.fabric_domain] = runner.record.availability_zone;
        }
    }
    std::map<state::availability_zone_id, std::size_t> seen;
    std::vector<std::pair<std::size_t, domain_size>> ordered;
    for (const auto& [domain, runners] : sizes) {
        ordered.emplace_back(seen[zones[domain]]++, domain_size{domain, runners});
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<domain_size> domains;
    for (auto& entry : ordered) {
        domains.push_back(std::move(entry.second));
    }
    work.layout = plan_layout(work.balance.with_measured_shares(work.engine.models), domains);
    work.balance.set_targets(count_groups(work.layout));
}

void group_steering::form_first_groups(step& work, const state::fabric_domain_id& domain) {
    auto& free = work.free[domain];
    const auto planned = work.layout.find(domain);
    if (planned == work.layout.end()) {
        return;
    }
    std::map<std::string, std::size_t> to_form;
    for (const auto& model : planned->second) {
        ++to_form[model];
    }
    for (auto& [name, count] : to_form) {
        const auto formed = work.groups_by_domain[domain][name];
        const auto* model = work.engine.find_model(name);
        for (auto i = formed; i < count && free.size() >= model->group_size; ++i) {
            const std::vector<const runner_view*> members(free.begin(),
                                                          free.begin() + model->group_size);
            free.erase(free.begin(), free.begin() + model->group_size);
            start_formation(work, *model, members);
        }
    }

    // Spares load the model whose groups need most runners by joining one of
    // their own; a second model follows.
    const state::model_rule* largest = nullptr;
    for (const auto& name : planned->second) {
        const auto* model = work.engine.find_model(name);
        if (largest == nullptr || model->group_size > largest->group_size) {
            largest = model;
        }
    }
    std::erase_if(free, [&](const runner_view* runner) {
        if (largest == nullptr || !runner->record.staged.empty()) {
            return false;
        }
        start_formation(work, *largest, {runner}, true);
        return true;
    });
}

void group_steering::form_in_domain(step& work, const state::fabric_domain_id& domain) {
    while (form_ready_group(work, domain)) {
    }
    stage_in_domain(work, domain);
}

bool group_steering::is_kept_for_busier(const step& work, const state::fabric_domain_id& domain,
                                        const std::string& model) const {
    const double load = work.balance.load_of(model);
    for (const auto& other : work.engine.models) {
        if (!work.balance.is_wanted(other.name) || work.balance.load_of(other.name) <= load) {
            continue;
        }
        const auto& free = work.free.at(domain);
        const bool is_waited_for = std::any_of(free.begin(), free.end(), [&](const auto* runner) {
            return is_ready_for(*runner, other.name) && is_ready_for(*runner, model) &&
                   work.now - m_free_since.at(runner->record.id) < m_settings.restage_after;
        });
        if (is_waited_for) {
            return true;
        }
    }
    return false;
}

bool group_steering::form_ready_group(step& work, const state::fabric_domain_id& domain) {
    // The wanted model whose groups are busiest, of those that the free runners
    // can form without a load.
    auto& free = work.free[domain];
    const state::model_rule* best = nullptr;
    double best_load = 0;
    for (const auto& model : work.engine.models) {
        // Runners that a conversion has freed are for its model.
        if (m_conversion && m_conversion->domain == domain && m_conversion->model != model.name) {
            continue;
        }
        const auto ready = std::count_if(free.begin(), free.end(), [&](const auto* runner) {
            return is_ready_for(*runner, model.name);
        });
        if (ready < static_cast<std::ptrdiff_t>(model.group_size) || model.group_size == 0 ||
            !work.balance.is_wanted(model.name) || is_kept_for_busier(work, domain, model.name)) {
            continue;
        }
        constexpr double planned_first = 1'000; // before those that are only busy
        const double load = work.balance.load_of(model.name) +
                            (work.balance.is_below_target(model.name) ? planned_first : 0);
        if (best == nullptr || load > best_load) {
            best = &model;
            best_load = load;
        }
    }
    if (best == nullptr) {
        return false;
    }

    // Members of a group of that model join again soonest.
    const auto was_last = [&](const runner_view* runner) {
        return runner->last_model == best->name;
    };
    std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
        return was_last(left) && !was_last(right);
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
    start_formation(work, *best, members);
    return true;
}

void group_steering::convert_groups(step& work) {
    if (m_conversion && work.now >= m_conversion_until) {
        m_conversion.reset();
    }
    if (m_conversion || work.before_traffic()) {
        return;
    }
    std::map<state::fabric_domain_id, domain_stock> stocks;
    for (const auto& [domain, runners] : work.free) {
        for (const auto* runner : runners) {
            for (const auto& model : work.engine.models) {
                stocks[domain].free_ready[model.name] += is_ready_for(*runner, model.name) ? 1 : 0;
            }
        }
    }
    for (const auto& [name, group] : work.groups) {
        if (group.head == nullptr || !group.head->record.is_open_head() ||
            m_closed.contains(name)) {
            continue;
        }
        convertible_group candidate{group.head->record.id, group.head->record.model, {}};
        for (const auto& model : work.engine.models) {
            candidate.ready[model.name] = static_cast<std::size_t>(
                std::count_if(group.members.begin(), group.members.end(), [&](const auto* member) {
                    return work.is_usable(*member) && is_ready_for(*member, model.name);
                }));
        }
        stocks[group.head->record.fabric_domain].groups.push_back(std::move(candidate));
    }
    std::vector<domain_stock> domains;
    for (auto& [domain, stock] : stocks) {
        stock.domain = domain;
        domains.push_back(std::move(stock));
    }
    m_conversion = choose_conversion(work.engine, work.balance, domains);
    if (!m_conversion) {
        return;
    }
    m_conversion_until = work.now + m_settings.conversion_limit;
    for (const auto& id : m_conversion->heads) {
        const auto& head = *work.find(id);
        order(work, head, runner_order_kind::close_after_queue, head.record.membership->group,
              head.record.membership->epoch);
    }
}

void group_steering::warm_up_spares(step& work, const state::fabric_domain_id& domain) {
    auto& free = work.free[domain];
    std::erase_if(free, [&](const runner_view* runner) {
        const auto& staged = runner->record.staged;
        const auto* model = staged.empty() ? nullptr : work.engine.find_model(staged.front());
        if (model == nullptr || !runner->last_model.empty() ||
            m_stagings.contains(runner->record.id)) {
            return false;
        }
        start_formation(work, *model, {runner}, true);
        return true;
    });
}

void group_steering::start_formation(step& work, const state::model_rule& model,
                                     const std::vector<const runner_view*>& members,
                                     bool is_warm_up) {
    formation forming;
    forming.is_warm_up = is_warm_up;
    forming.group = "g" + std::to_string(work.view.epoch) + "-" + std::to_string(m_next_group++);
    forming.epoch = work.view.epoch;
    forming.model = model.name;
    forming.domain = members.front()->record.fabric_domain;
    for (const auto* runner : members) {
        forming.members.push_back(runner->record.id);
        forming.lives[runner->record.id] = runner->record.born_ms;
    }
    for (const auto* runner : members) {
        const auto sent = work.orders.size();
        order(work, *runner, runner_order_kind::join, forming.group, forming.epoch);
        if (work.orders.size() > sent) {
            work.orders.back().model = model.name;
            work.orders.back().members = forming.members;
        }
    }
    if (!is_warm_up) {
        work.balance.add_group(model.name);
        ++work.groups_by_domain[forming.domain][model.name];
    }
    m_formations.push_back(std::move(forming));
}

} // namespace savoryrelay::coordination
