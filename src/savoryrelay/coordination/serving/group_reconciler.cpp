// Implements one planning step: collects the groups from the reports, updates the
// existing groups and releases the members of lost ones.
#include "savoryrelay/coordination/serving/group_reconciler_step.h"

#include <algorithm>

namespace savoryrelay::coordination {

using state::membership_state;
using state::runner_order_kind;

bool group_reconciler::is_gone(const runner_view& runner, state::time_point now) const {
    return is_silent_for(runner, m_settings.gone_after, now);
}

bool group_reconciler::is_silent_for(const runner_view& runner, state::milliseconds span,
                                     state::time_point now) const {
    return runner.silent_since && now - *runner.silent_since >= span &&
           !(runner.peer_confirmed_until && now < *runner.peer_confirmed_until);
}

bool group_reconciler::is_settled(const state::endpoint_id& runner, state::time_point now) const {
    const auto found = m_no_orders_before.find(runner);
    return found == m_no_orders_before.end() || now >= found->second;
}

void group_reconciler::add_order(step& current, const runner_view& runner, runner_order_kind kind,
                                 const std::string& group, std::uint64_t epoch) {
    const auto& id = runner.record.id;
    if (!is_settled(id, current.now) || runner.has_unconfirmed_order() ||
        !current.has_reported_here(runner)) {
        return;
    }
    if (kind == runner_order_kind::join && runner.record.membership) {
        return;
    }
    state::runner_order order;
    order.runner = id;
    order.kind = kind;
    order.expected_sequence = runner.record.sequence;
    order.fencing_number = current.input.epoch;
    order.group = group;
    order.epoch = epoch;
    current.orders.push_back(std::move(order));
    m_no_orders_before[id] = current.now + m_settings.order_settle_time;
}

void group_reconciler::note_result(const state::runner_order& order,
                                   state::runner_order_result result, state::time_point now) {
    if (result == state::runner_order_result::unknown) {
        return; // the first report after `order_settle_time` shows whether it took effect
    }
    using result_kind = state::runner_order_result;
    const bool is_refused = result == result_kind::does_not_fit || result == result_kind::outdated;
    m_no_orders_before[order.runner] =
        now + (is_refused                               ? m_settings.refusal_settle_time
               : order.kind == runner_order_kind::open  ? m_settings.open_settle_time
               : order.kind == runner_order_kind::leave ? state::milliseconds(0)
               : result == result_kind::holds_already   ? m_settings.order_settle_time
                                                        : state::milliseconds(0));
    const bool is_close = order.kind == runner_order_kind::close_now ||
                          order.kind == runner_order_kind::close_after_queue;
    if (is_close && !is_refused) {
        m_closed.insert(order.group);
    }
    const auto head = m_leaving_heads.find(order.group);
    if (order.kind == runner_order_kind::leave && result == result_kind::holds_already &&
        head != m_leaving_heads.end() && head->second == order.runner) {
        m_dissolved.insert(order.group);
    }
}

std::vector<state::runner_order> group_reconciler::plan(const group_reconciler_input& input,
                                                        state::time_point now) {
    step current{input, *input.service->engine, now};
    if (!has_first_reports(current)) {
        return {};
    }
    collect_groups(current);
    if (current.silent_runners > m_settings.max_silent_share * current.all_runners) {
        return {};
    }
    advance_formations(current);
    update_existing_groups(current);
    release_members(current);
    form_groups(current);
    return std::move(current.orders);
}

bool group_reconciler::has_first_reports(const step& current) const {
    return current.now - current.input.holder_since >= m_settings.first_report_wait ||
           std::all_of(current.input.fleet->begin(), current.input.fleet->end(),
                       [&](const runner_view& runner) {
                           return runner.record.service != current.input.service->name ||
                                  !runner.is_listed(current.now) || runner.silent_since ||
                                  current.has_reported_here(runner);
                       });
}

void group_reconciler::collect_groups(step& current) {
    for (const auto& runner : *current.input.fleet) {
        if (runner.record.service != current.input.service->name) {
            continue;
        }
        if (runner.is_listed(current.now)) {
            current.all_runners += 1;
            current.silent_runners += runner.silent_since ? 1 : 0;
        }
        if (current.is_usable(runner)) {
            ++current.usable_runners;
        }
        const bool is_state_known = runner.silent_since || (current.has_fresh_report(runner) &&
                                                            current.has_reported_here(runner) &&
                                                            !runner.has_unconfirmed_order());
        if (runner.is_listed(current.now) && !is_state_known) {
            current.unknown_state_domains.insert(runner.record.fabric_domain);
        }
        if (!runner.record.membership) {
            continue;
        }
        if (is_gone(runner, current.now)) {
            if (runner.record.is_head()) {
                m_dissolved.insert(runner.record.membership->group);
            }
            continue;
        }
        auto& group = current.groups[runner.record.membership->group];
        group.members.push_back(&runner);
        if (runner.record.membership->rank == 0) {
            group.head = &runner;
        }
    }
}

void group_reconciler::update_existing_groups(step& current) {
    const auto is_forming = [&](const std::string& name) {
        return std::any_of(m_formations.begin(), m_formations.end(),
                           [&](const formation& each) { return each.group == name; });
    };
    for (const auto& forming : m_formations) {
        if (forming.is_warm_up) {
            continue;
        }
        current.balance.add_group(forming.model);
        ++current.groups_by_domain[forming.domain][forming.model];
    }
    std::erase_if(m_not_open_since,
                  [&](const auto& entry) { return !current.groups.contains(entry.first); });
    const auto is_unreported = [&](const auto& name) { return !current.groups.contains(name); };
    std::erase_if(m_closed, is_unreported);
    std::erase_if(m_dissolved, is_unreported);
    std::erase_if(m_leaving_heads, [&](const auto& entry) { return is_unreported(entry.first); });
    for (const auto& [name, group] : current.groups) {
        if (group.head == nullptr || is_forming(name)) {
            m_not_open_since.erase(name);
            continue;
        }
        const auto& head = *group.head;
        if (head.silent_since) {
            continue; // the head gets no orders; its members wait until it counts as ended
        }
        const auto& membership = *head.record.membership;
        const auto* model = current.engine.find_model(head.record.model);
        const auto size = model == nullptr ? group.members.size() : model->group_size;
        const bool is_lost =
            group.members.size() < size ||
            std::any_of(group.members.begin(), group.members.end(), [&](const auto* member) {
                return is_silent_for(*member, m_settings.lost_after, current.now);
            });
        const bool is_leaving =
            std::any_of(group.members.begin(), group.members.end(), [&](const auto* member) {
                return member->is_leaving(current.now) ||
                       (!member->is_listed(current.now) && current.has_fresh_report(*member));
            });
        if (membership.state == membership_state::open) {
            m_not_open_since.erase(name);
        }
        const auto since = m_not_open_since.try_emplace(name, current.now).first->second;
        const bool is_abandoned =
            m_closed.contains(name) || current.now - since >= m_settings.abandoned_after;
        switch (membership.state) {
        case membership_state::open:
            if (is_lost) {
                add_order(current, head, runner_order_kind::close_now, name, membership.epoch);
            } else if (is_leaving) {
                add_order(current, head, runner_order_kind::close_after_queue, name,
                          membership.epoch);
            } else {
                current.balance.add_group(head.record.model);
                ++current.groups_by_domain[head.record.fabric_domain][head.record.model];
            }
            break;
        case membership_state::closing:
            if (is_lost) {
                add_order(current, head, runner_order_kind::close_now, name, membership.epoch);
            }
            break;
        case membership_state::joining:
        case membership_state::ready:
            if (!is_abandoned) {
                break;
            }
            [[fallthrough]];
        case membership_state::broken:
            // The head leaves first, so that a delayed `open` order cannot open the
            // group.
            m_leaving_heads.insert_or_assign(name, head.record.id);
            add_order(current, head, runner_order_kind::leave, name, membership.epoch);
            break;
        }
    }
}

void group_reconciler::release_members(step& current) {
    std::erase_if(m_headless_since, [&](const auto& entry) {
        const auto group = current.groups.find(entry.first);
        return group == current.groups.end() || group->second.head != nullptr;
    });
    for (const auto& [name, group] : current.groups) {
        const bool is_forming =
            std::any_of(m_formations.begin(), m_formations.end(),
                        [&name = name](const formation& each) { return each.group == name; });
        if (group.head != nullptr || is_forming) {
            continue;
        }
        const auto since = m_headless_since.try_emplace(name, current.now).first->second;
        const bool is_dissolved = m_dissolved.contains(name);
        if (!is_dissolved && current.now - since < m_settings.headless_after) {
            continue;
        }
        for (const auto* member : group.members) {
            if (current.is_usable(*member) &&
                (is_dissolved ||
                 !current.unknown_state_domains.contains(member->record.fabric_domain))) {
                add_order(current, *member, runner_order_kind::leave, name,
                          member->record.membership->epoch);
            }
        }
    }
}

} // namespace savoryrelay::coordination
