// One step of the steering, from the reports to the next orders.
#include "savoryrelay/coordination/serving/group_steering.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

using state::membership_state;
using state::runner_order_kind;

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
    model_balance balance{view.work};
    std::map<state::fabric_domain_id, std::map<std::string, std::size_t>> groups_by_domain{};
    domain_layout layout{};
    std::size_t usable_runners = 0;
    double all_runners = 0;
    double silent_runners = 0;
    std::set<state::fabric_domain_id> unclear_domains{}; // with runners that have not reported
    std::vector<state::runner_order> orders{};

    /// An order was accepted whose effect no report shows yet.
    [[nodiscard]] static bool is_unclear(const runner_view& runner) {
        return runner.awaits_report_since && !runner.is_effect_known;
    }
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
    [[nodiscard]] bool before_traffic() const { return view.is_first_start && view.work.empty(); }
};

bool group_steering::is_gone(const runner_view& runner, state::time_point now) const {
    return is_silent_for(runner, m_settings.gone_after, now);
}

bool group_steering::is_silent_for(const runner_view& runner, state::milliseconds span,
                                   state::time_point now) const {
    return runner.silent_since && now - *runner.silent_since >= span &&
           !(runner.vouched_until && now < *runner.vouched_until);
}

bool group_steering::is_settled(const state::endpoint_id& runner, state::time_point now) const {
    const auto found = m_unsettled.find(runner);
    return found == m_unsettled.end() || now >= found->second;
}

void group_steering::order(step& work, const runner_view& runner, runner_order_kind kind,
                           const std::string& group, std::uint64_t epoch) {
    const auto& id = runner.record.id;
    if (!is_settled(id, work.now) || work.is_unclear(runner)) {
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
    const bool is_refused = result == result_kind::does_not_fit || result == result_kind::outdated;
    m_unsettled[order.runner] =
        now + (is_refused                               ? m_settings.refusal_settle
               : order.kind == runner_order_kind::open  ? m_settings.open_settle
               : order.kind == runner_order_kind::leave ? state::milliseconds(0)
               : result == result_kind::holds_already   ? m_settings.order_settle
                                                        : state::milliseconds(0));
    const bool is_close = order.kind == runner_order_kind::close_now ||
                          order.kind == runner_order_kind::close_after_queue;
    if (is_close && !is_refused) {
        m_closed.insert(order.group);
    }
    const auto head = m_told_to_leave.find(order.group);
    if (order.kind == runner_order_kind::leave && result == result_kind::holds_already &&
        head != m_told_to_leave.end() && head->second == order.runner) {
        m_dissolved.insert(order.group);
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
        const bool is_clear =
            runner.silent_since || (work.has_fresh_report(runner) && !work.is_unclear(runner));
        if (runner.is_listed(work.now) && !is_clear) {
            work.unclear_domains.insert(runner.record.fabric_domain);
        }
        if (!runner.record.membership) {
            continue;
        }
        if (is_gone(runner, work.now)) {
            if (runner.record.is_head()) {
                m_dissolved.insert(runner.record.membership->group);
            }
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

void group_steering::steer_standing(step& work) {
    const auto is_forming = [&](const std::string& name) {
        return std::any_of(m_formations.begin(), m_formations.end(),
                           [&](const formation& each) { return each.group == name; });
    };
    for (const auto& forming : m_formations) {
        if (forming.is_warm_up) {
            continue;
        }
        work.balance.add_group(forming.model);
        ++work.groups_by_domain[forming.domain][forming.model];
    }
    std::erase_if(m_not_open_since,
                  [&](const auto& entry) { return !work.groups.contains(entry.first); });
    const auto is_over = [&](const auto& name) { return !work.groups.contains(name); };
    std::erase_if(m_closed, is_over);
    std::erase_if(m_dissolved, is_over);
    std::erase_if(m_told_to_leave, [&](const auto& entry) { return is_over(entry.first); });
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
            std::any_of(group.members.begin(), group.members.end(), [&](const auto* member) {
                return is_silent_for(*member, m_settings.lost_after, work.now);
            });
        const bool is_leaving =
            std::any_of(group.members.begin(), group.members.end(), [&](const auto* member) {
                return member->record.is_draining ||
                       (!member->is_listed(work.now) && work.has_fresh_report(*member));
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
                work.balance.add_group(head.record.model);
                ++work.groups_by_domain[head.record.fabric_domain][head.record.model];
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
            m_told_to_leave.insert_or_assign(name, head.record.id);
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
        const bool is_dissolved = m_dissolved.contains(name);
        if (!is_dissolved && work.now - since < m_settings.headless_after) {
            continue;
        }
        for (const auto* member : group.members) {
            if (work.is_usable(*member) &&
                (is_dissolved || !work.unclear_domains.contains(member->record.fabric_domain))) {
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

bool group_steering::is_ready_for(const runner_view& runner, const std::string& model) {
    return runner.record.has_staged(model) || runner.last_model == model;
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
