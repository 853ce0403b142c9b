// One step of the steering, from the reports to the next orders.
#include "savoryrelay/coordination/serving/group_steering.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

using state::membership_state;
using state::runner_order_kind;

// Joining a model that was the runner's last one (given by the platform).
constexpr state::milliseconds rejoin_time{200};
// A group that needs longer than this to form is prepared by staging instead of
// joining, so that its members stay free for another use.
constexpr state::milliseconds quick_join{3'000};
constexpr std::chrono::seconds load_window{1};
// Orders rely on reports that are no older than this.
constexpr state::milliseconds report_age{1'500};

} // namespace

/// What one step has found and decided.
struct group_steering::step {
    const steering_view& view;
    const state::engine_rule& engine;
    state::time_point now;
    std::map<std::string, standing_group> groups{};
    std::map<state::fabric_domain_id, std::vector<const runner_view*>> free{};
    std::map<std::string, double> groups_by_model{}; // open ones and formations
    std::map<std::string, std::size_t> runners_by_model{};
    std::size_t usable_runners = 0;
    double all_runners = 0;
    double silent_runners = 0;
    std::set<state::fabric_domain_id> unclear_domains{}; // with runners that have not reported
    std::vector<state::runner_order> orders{};

    [[nodiscard]] const runner_view* find(const state::endpoint_id& id) const {
        const auto found = std::lower_bound(
            view.fleet->begin(), view.fleet->end(), id,
            [](const runner_view& runner, const auto& key) { return runner.record.id < key; });
        return found == view.fleet->end() || found->record.id != id ? nullptr : &*found;
    }
    [[nodiscard]] bool has_fresh_report(const runner_view& runner) const {
        return runner.reported_at && now - *runner.reported_at < report_age;
    }
    [[nodiscard]] bool is_usable(const runner_view& runner) const {
        return runner.is_listed(now) && !runner.record.is_draining && !runner.silent_since &&
               has_fresh_report(runner) &&
               !view.zones_out_of_service.contains(runner.record.availability_zone);
    }
    [[nodiscard]] bool before_traffic() const { return view.work.empty(); }
};

bool group_steering::is_gone(const runner_view& runner, state::time_point now) const {
    return runner.silent_since && now - *runner.silent_since >= m_settings.gone_after &&
           !(runner.vouched_until && now < *runner.vouched_until);
}

bool group_steering::is_settled(const state::endpoint_id& runner, state::time_point now) const {
    const auto found = m_unsettled.find(runner);
    return found == m_unsettled.end() || now >= found->second;
}

void group_steering::order(step& work, const runner_view& runner, runner_order_kind kind,
                           const std::string& group, std::uint64_t epoch) {
    const auto& id = runner.record.id;
    if (!is_settled(id, work.now) || runner.awaits_report_since) {
        return;
    }
    state::runner_order order;
    order.runner = id;
    order.kind = kind;
    order.expected_sequence = runner.record.sequence;
    order.fencing_number = work.view.epoch;
    order.group = group;
    order.epoch = epoch;
    work.orders.push_back(std::move(order));
    m_unsettled[id] = work.now + m_settings.order_settle;
}

void group_steering::note_result(const state::runner_order& order,
                                 state::runner_order_result result, state::time_point now) {
    if (result == state::runner_order_result::unknown) {
        return; // settled by time and the next report
    }
    using result_kind = state::runner_order_result;
    const bool is_refused =
        result == result_kind::does_not_fit || result == result_kind::outdated;
    m_unsettled[order.runner] =
        now + (is_refused                              ? m_settings.refusal_settle
               : order.kind == runner_order_kind::open ? m_settings.open_settle
               : result == result_kind::holds_already  ? m_settings.order_settle
                                                       : state::milliseconds(0));
    const bool is_close = order.kind == runner_order_kind::close_now ||
                          order.kind == runner_order_kind::close_after_queue;
    if (is_close && !is_refused) {
        m_closed.insert(order.group);
    }
    if (result == state::runner_order_result::accepted && order.kind == runner_order_kind::join) {
        m_last_model[order.runner] = order.model;
    }
}

std::vector<state::runner_order> group_steering::plan(const steering_view& view,
                                                      state::time_point now) {
    step work{view, *view.service->engine, now};
    collect_groups(work);
    if (work.silent_runners > m_settings.cut_off_share * work.all_runners) {
        return {};
    }
    advance_formations(work);
    steer_standing(work);
    release_members(work);
    form_groups(work);
    return std::move(work.orders);
}

void group_steering::collect_groups(step& work) {
    for (const auto& runner : *work.view.fleet) {
        if (runner.record.service != work.view.service->name) {
            continue;
        }
        if (runner.is_listed(work.now)) {
            work.all_runners += 1;
            work.silent_runners += runner.silent_since ? 1 : 0;
        }
        if (work.is_usable(runner)) {
            ++work.usable_runners;
        }
        const bool is_clear = runner.silent_since ||
                              (work.has_fresh_report(runner) && !runner.awaits_report_since);
        if (runner.is_listed(work.now) && !is_clear) {
            work.unclear_domains.insert(runner.record.fabric_domain);
        }
        if (!runner.record.membership || is_gone(runner, work.now)) {
            continue;
        }
        auto& group = work.groups[runner.record.membership->group];
        group.members.push_back(&runner);
        if (runner.record.membership->rank == 0) {
            group.head = &runner;
        }
    }
}

void group_steering::advance_formations(step& work) {
    std::erase_if(m_formations, [&](formation& forming) {
        // A member that is lost, or was taken by a rival's order, ends the formation.
        bool all_ready = true;
        for (const auto& id : forming.members) {
            const auto* runner = work.find(id);
            if (runner == nullptr || runner->record.born_ms != forming.lives.at(id) ||
                !work.is_usable(*runner)) {
                return true;
            }
            const auto& membership = runner->record.membership;
            const bool is_member = membership && membership->group == forming.group &&
                                   membership->epoch == forming.epoch;
            if (is_member && membership->state == membership_state::broken) {
                return true;
            }
            if (!is_member) {
                all_ready = false;
                if (is_settled(id, work.now)) {
                    if (work.view.epoch != forming.epoch) {
                        return true;
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
        if (all_ready) {
            order(work, head, runner_order_kind::open, forming.group, forming.epoch);
            forming.is_open_sent = true;
        }
        return false;
    });
}

void group_steering::steer_standing(step& work) {
    const auto is_forming = [&](const std::string& name) {
        return std::any_of(m_formations.begin(), m_formations.end(),
                           [&](const formation& each) { return each.group == name; });
    };
    for (const auto& forming : m_formations) {
        work.groups_by_model[forming.model] += 1;
        work.runners_by_model[forming.model] += forming.members.size();
    }
    std::erase_if(m_not_open_since,
                  [&](const auto& entry) { return !work.groups.contains(entry.first); });
    std::erase_if(m_closed, [&](const auto& name) { return !work.groups.contains(name); });
    for (const auto& [name, group] : work.groups) {
        if (group.head == nullptr || is_forming(name)) {
            m_not_open_since.erase(name);
            continue;
        }
        const auto& head = *group.head;
        if (head.silent_since) {
            continue; // no order reaches it; its members wait until it is gone
        }
        const auto& membership = *head.record.membership;
        const auto* model = work.engine.find_model(head.record.model);
        const auto size = model == nullptr ? group.members.size() : model->group_size;
        const bool is_lost =
            group.members.size() < size ||
            std::any_of(group.members.begin(), group.members.end(),
                        [](const auto* member) { return member->silent_since.has_value(); });
        const bool is_leaving =
            std::any_of(group.members.begin(), group.members.end(), [&](const auto* member) {
                return member->record.is_draining || !member->is_listed(work.now);
            });
        if (membership.state == membership_state::open) {
            m_not_open_since.erase(name);
        }
        const auto since = m_not_open_since.try_emplace(name, work.now).first->second;
        const bool is_abandoned =
            m_closed.contains(name) || work.now - since >= m_settings.abandoned_after;
        switch (membership.state) {
        case membership_state::open:
            if (is_lost) {
                order(work, head, runner_order_kind::close_now, name, membership.epoch);
            } else if (is_leaving) {
                order(work, head, runner_order_kind::close_after_queue, name, membership.epoch);
            } else {
                work.groups_by_model[head.record.model] += 1;
                work.runners_by_model[head.record.model] += size;
            }
            break;
        case membership_state::closing:
            if (is_lost) {
                order(work, head, runner_order_kind::close_now, name, membership.epoch);
            }
            break;
        case membership_state::joining:
        case membership_state::ready:
            if (!is_abandoned) {
                break;
            }
            [[fallthrough]];
        case membership_state::broken:
            // The head leaves first, so that a late order to open finds no group.
            order(work, head, runner_order_kind::leave, name, membership.epoch);
            break;
        }
    }
}

void group_steering::release_members(step& work) {
    std::erase_if(m_headless_since, [&](const auto& entry) {
        const auto group = work.groups.find(entry.first);
        return group == work.groups.end() || group->second.head != nullptr;
    });
    for (const auto& [name, group] : work.groups) {
        const bool is_forming =
            std::any_of(m_formations.begin(), m_formations.end(),
                        [&name = name](const formation& each) { return each.group == name; });
        if (group.head != nullptr || is_forming) {
            continue;
        }
        const auto since = m_headless_since.try_emplace(name, work.now).first->second;
        if (work.now - since < m_settings.headless_after) {
            continue;
        }
        for (const auto* member : group.members) {
            if (work.is_usable(*member) &&
                !work.unclear_domains.contains(member->record.fabric_domain)) {
                order(work, *member, runner_order_kind::leave, name,
                      member->record.membership->epoch);
            }
        }
    }
}

void group_steering::form_groups(step& work) {
    if (work.usable_runners > m_known_runners) {
        m_grown_at = work.now;
    }
    m_known_runners = work.usable_runners;
    if (work.before_traffic() && work.now - m_grown_at < m_settings.quiet_fleet) {
        return;
    }
    std::set<state::endpoint_id> taken;
    for (const auto& forming : m_formations) {
        taken.insert(forming.members.begin(), forming.members.end());
    }
    for (const auto& runner : *work.view.fleet) {
        if (runner.record.service != work.view.service->name || !work.is_usable(runner) ||
            taken.contains(runner.record.id) || !is_settled(runner.record.id, work.now) ||
            runner.awaits_report_since) {
            continue;
        }
        if (runner.record.membership) {
            continue; // until it has left
        }
        work.free[runner.record.fabric_domain].push_back(&runner);
    }

    // Domains of all zones in turn, so that a zone does not hold one model alone.
    std::map<state::availability_zone_id, std::size_t> seen;
    std::vector<std::pair<std::size_t, state::fabric_domain_id>> domains;
    for (const auto& [domain, runners] : work.free) {
        const auto place = seen[runners.front()->record.availability_zone]++;
        domains.emplace_back(place, domain);
    }
    std::stable_sort(domains.begin(), domains.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& [place, domain] : domains) {
        form_in_domain(work, domain);
    }
    std::erase_if(m_stagings, [&](const auto& entry) { return work.now >= entry.second.until; });
}

std::string group_steering::choose_model(const step& work, const state::fabric_domain_id& domain,
                                         const std::vector<const runner_view*>& free) const {
    // How long the quickest group of the model takes to form here.
    const auto forming_time = [&](const state::model_rule& model) {
        std::vector<state::milliseconds> times;
        for (const auto* runner : free) {
            const auto last = m_last_model.find(runner->record.id);
            const auto staging = m_stagings.find(runner->record.id);
            if (last != m_last_model.end() && last->second == model.name) {
                times.push_back(rejoin_time);
            } else if (runner->record.has_staged(model.name)) {
                times.push_back(model.warm_up_time);
            } else if (staging != m_stagings.end() && staging->second.model == model.name &&
                       staging->second.born_ms == runner->record.born_ms) {
                times.push_back(std::chrono::duration_cast<state::milliseconds>(
                    staging->second.until - work.now));
            } else {
                times.push_back(model.load_time);
            }
        }
        std::nth_element(times.begin(), times.begin() + (model.group_size - 1), times.end());
        return times[model.group_size - 1];
    };

    // The model whose groups are busiest, less the time until it is helped.
    constexpr double time_weight_ms = 4'000;
    std::string best;
    double best_score = -1;
    for (const auto& model : work.engine.models) {
        if (model.group_size == 0 || free.size() < model.group_size) {
            continue;
        }
        const auto have = work.groups_by_model.find(model.name);
        const double groups = have == work.groups_by_model.end() ? 0 : have->second;
        double score = 0;
        if (work.before_traffic()) {
            const auto held = work.runners_by_model.find(model.name);
            const double runners =
                held == work.runners_by_model.end() ? 0 : static_cast<double>(held->second);
            score = model.share * static_cast<double>(work.usable_runners) - runners;
            // A domain of one model loses less when its runners fail one by one.
            const bool is_here =
                std::any_of(m_formations.begin(), m_formations.end(), [&](const formation& each) {
                    return each.domain == domain && each.model == model.name;
                });
            if (is_here && score >= model.group_size) {
                score += static_cast<double>(work.usable_runners);
            }
            score += static_cast<double>(work.usable_runners); // stays above none
        } else {
            const auto asked = work.view.work.find(model.name);
            const double busy = asked == work.view.work.end() ? 0 : asked->second;
            constexpr double least_work = 0.05; // a model without calls still gets a group
            score = std::max(busy, least_work) / (groups + 0.5);
            score /= 1 + static_cast<double>(forming_time(model).count()) / time_weight_ms;
        }
        if (score > best_score) {
            best_score = score;
            best = model.name;
        }
    }
    return best;
}

bool group_steering::may_load(std::size_t count, const step& work) {
    if (work.before_traffic()) {
        return true; // the weight store's rate counts from the first call on
    }
    while (!m_loads.empty() && work.now - m_loads.front() >= load_window) {
        m_loads.pop_front();
    }
    const double limit = work.engine.loads_per_s * m_settings.load_rate_share;
    return static_cast<double>(m_loads.size() + count) <= limit;
}

void group_steering::form_in_domain(step& work, const state::fabric_domain_id& domain) {
    auto& free = work.free[domain];
    while (!free.empty()) {
        const auto name = choose_model(work, domain, free);
        const auto* model = work.engine.find_model(name);
        if (model == nullptr) {
            break;
        }

        // Take the runners that are ready for it soonest.
        const auto readiness = [&](const runner_view* runner) {
            const auto last = m_last_model.find(runner->record.id);
            const bool was_last = last != m_last_model.end() && last->second == name;
            const auto staging = m_stagings.find(runner->record.id);
            const bool is_staging = staging != m_stagings.end() && staging->second.model == name;
            return was_last ? 0 : runner->record.has_staged(name) ? 1 : is_staging ? 2 : 3;
        };
        std::stable_sort(free.begin(), free.end(), [&](const auto* left, const auto* right) {
            return readiness(left) < readiness(right);
        });
        const std::vector<const runner_view*> chosen(free.begin(),
                                                     free.begin() + model->group_size);
        free.erase(free.begin(), free.begin() + model->group_size);

        // Members that lack the weights load them first, free for other use meanwhile.
        std::vector<const runner_view*> lacking;
        for (const auto* runner : chosen) {
            if (readiness(runner) >= 2) {
                lacking.push_back(runner);
            }
        }
        if (!lacking.empty() && !work.before_traffic() && model->load_time > quick_join) {
            for (const auto* runner : lacking) {
                if (readiness(runner) == 2 || !may_load(1, work)) {
                    continue;
                }
                const auto sent = work.orders.size();
                order(work, *runner, runner_order_kind::stage, {}, 0);
                if (work.orders.size() > sent) {
                    work.orders.back().model = name;
                    m_loads.push_back(work.now);
                    m_stagings[runner->record.id] = {name, runner->record.born_ms,
                                                     work.now + model->load_time * 2};
                }
            }
            continue;
        }
        if (!may_load(lacking.size(), work)) {
            continue;
        }
        formation forming;
        forming.group =
            "g" + std::to_string(work.view.epoch) + "-" + std::to_string(m_next_group++);
        forming.epoch = work.view.epoch;
        forming.model = name;
        forming.domain = domain;
        for (const auto* runner : chosen) {
            forming.members.push_back(runner->record.id);
            forming.lives[runner->record.id] = runner->record.born_ms;
        }
        for (const auto* runner : chosen) {
            order(work, *runner, runner_order_kind::join, forming.group, forming.epoch);
            work.orders.back().model = name;
            work.orders.back().members = forming.members;
        }
        work.groups_by_model[name] += 1;
        work.runners_by_model[name] += chosen.size();
        m_formations.push_back(std::move(forming));
    }
}

} // namespace savoryrelay::coordination
