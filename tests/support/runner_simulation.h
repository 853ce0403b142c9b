// Simulates the runners of one service for tests of `group_reconciler`, in simulated
// time: orders may be lost or carried out late, reports lag, runners crash and are
// replaced, or are isolated for a time. The simulation checks the group invariants and
// records violations.
#pragma once

#include "savoryrelay/coordination/serving/group_reconciler.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// Probabilities of the faults that the simulation injects.
struct fault_probabilities {
    double lost_order_share = 0; ///< share of the orders that get no answer
    double late_order_share = 0; ///< share of the lost orders that are carried out later
    double crash_chance = 0;     ///< that a runner crashes, in each step
    double isolation_chance = 0; ///< that a runner is isolated from the lease holder, in each step
};

/// The simulated runners and the table in which their reports arrive.
class runner_simulation {
public:
    using clock = std::chrono::steady_clock;
    static constexpr state::milliseconds step{50};
    static constexpr state::milliseconds report_lag{200};

    struct runner {
        state::runner_record record;
        bool is_dead = false;
        state::time_point isolated_until{};
        std::uint64_t highest_epoch = 0;
        std::vector<state::endpoint_id> members;
        state::time_point next_change_at{}; // time of the next joining -> ready or opening -> open
        bool is_opening = false;
        std::deque<std::pair<state::time_point, state::runner_record>> history;
    };
    struct late_order {
        state::time_point at{};
        state::runner_order order;
    };

    runner_simulation(std::uint64_t seed, fault_probabilities faults, std::size_t domains,
                      std::size_t runners_per_domain)
        : m_random(seed), m_faults(faults) {
        service.name = "model";
        state::engine_rule engine;
        engine.slots = 26;
        engine.loads_per_s = 4;
        engine.models = {
            {"large", 4, 0.67, 1.0, std::chrono::seconds(4), state::milliseconds(400)},
            {"small", 2, 0.33, 0.6, std::chrono::seconds(3), state::milliseconds(300)}};
        service.engine = engine;
        for (std::size_t d = 0; d < domains; ++d) {
            for (std::size_t i = 0; i < runners_per_domain; ++i) {
                add_runner("d" + std::to_string(d));
            }
        }
    }

    void add_runner(const std::string& domain) {
        runner value;
        value.record.id = state::endpoint_id("r" + std::to_string(m_next_id++));
        value.record.service = service.name;
        value.record.fabric_domain = state::fabric_domain_id(domain);
        value.record.availability_zone = state::availability_zone_id("z");
        value.record.started_ms = m_next_id;
        fleet.apply_entry(value.record, now);
        runners[value.record.id] = std::move(value);
    }

    /// Advances the simulation by one step, in which `reconciler` plans orders under the
    /// lease with the fencing number `epoch`.
    void advance(coordination::group_reconciler& reconciler, std::uint64_t epoch) {
        now += step;
        advance_runners();
        inject_faults();
        deliver_reports();
        fleet.refresh(now);
        coordination::group_reconciler_input input;
        const auto snapshot = fleet.snapshot();
        input.service = &service;
        input.fleet = &*snapshot;
        input.work = work;
        input.epoch = epoch;
        for (const auto& order : reconciler.plan(input, now)) {
            send(reconciler, order);
        }
    }

    [[nodiscard]] std::size_t open_groups(const std::string& model) const {
        std::size_t count = 0;
        for (const auto& [id, each] : runners) {
            count += !each.is_dead && each.record.is_open_head() && each.record.model == model &&
                     is_complete(each);
        }
        return count;
    }

    state::service_rule service;
    std::map<std::string, double> work{{"large", 2.0}, {"small", 2.0}};
    state::time_point now{std::chrono::hours(1)};
    coordination::fleet_table fleet;
    std::map<state::endpoint_id, runner> runners;
    std::vector<std::string> violations;
    std::size_t orders_sent = 0;

private:
    static bool is_in_group(const runner& each, const std::string& group) {
        return each.record.membership && each.record.membership->group == group;
    }

    [[nodiscard]] bool is_complete(const runner& head) const {
        for (const auto& id : head.members) {
            const auto& member = runners.at(id);
            if (member.is_dead || !is_in_group(member, head.record.membership->group)) {
                return false;
            }
        }
        return true;
    }

    bool draw_event(double probability) {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    runner& random_runner() {
        auto position = runners.begin();
        std::advance(position,
                     static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(
                         0, runners.size() - 1)(m_random)));
        return position->second;
    }

    void advance_runners() {
        for (auto& [id, each] : runners) {
            auto& membership = each.record.membership;
            if (membership && membership->state == state::membership_state::joining &&
                now >= each.next_change_at) {
                membership->state = state::membership_state::ready;
                each.record.staged = {each.record.model};
            }
            if (each.is_opening && now >= each.next_change_at) {
                each.is_opening = false;
                membership->state = state::membership_state::open;
            }
            each.history.emplace_back(now, each.record);
            while (each.history.size() > 1 && now - each.history[1].first >= report_lag) {
                each.history.pop_front();
            }
        }
        for (const auto& late : std::exchange(m_late_orders, {})) {
            if (now >= late.at) {
                apply(late.order);
            } else {
                m_late_orders.push_back(late);
            }
        }
    }

    void inject_faults() {
        if (draw_event(m_faults.crash_chance)) {
            auto& victim = random_runner();
            if (!victim.is_dead) {
                victim.is_dead = true;
                victim.record.membership.reset();
                m_unlist_at[victim.record.id] = now + std::chrono::seconds(3);
                add_runner(victim.record.fabric_domain.value());
            }
        }
        if (draw_event(m_faults.isolation_chance)) {
            random_runner().isolated_until = now + std::chrono::seconds(4);
        }
        for (const auto& [id, at] : std::map(m_unlist_at)) {
            if (now >= at) {
                fleet.apply_removal(id, now);
                m_unlist_at.erase(id);
            }
        }
    }

    void deliver_reports() {
        for (auto& [id, each] : runners) {
            if (each.history.empty()) {
                continue; // the runner was started in this step
            }
            if (each.is_dead || now < each.isolated_until) {
                fleet.note_silence(id, each.record.started_ms, now);
                continue;
            }
            const auto& seen = each.history.front().second;
            state::runner_report report;
            report.started_ms = seen.started_ms;
            report.sequence = seen.sequence;
            report.model = seen.model;
            report.staged = seen.staged;
            report.membership = seen.membership;
            fleet.apply_report(id, report, now);
        }
    }

    void send(coordination::group_reconciler& reconciler, const state::runner_order& order) {
        ++orders_sent;
        const auto& target = runners.at(order.runner);
        if (target.is_dead || now < target.isolated_until ||
            draw_event(m_faults.lost_order_share)) {
            if (draw_event(m_faults.late_order_share)) {
                m_late_orders.push_back(
                    {now + std::chrono::seconds(2 + order.expected_sequence % 7), order});
            }
            reconciler.note_result(order, state::runner_order_result::unknown, now);
            return;
        }
        const auto result = apply(order);
        const bool has_left = order.kind == state::runner_order_kind::leave &&
                              result == state::runner_order_result::holds_already;
        if (result == state::runner_order_result::accepted || has_left) {
            fleet.note_order_accepted(order, now);
        }
        reconciler.note_result(order, result, now);
    }

    state::runner_order_result apply(const state::runner_order& order) {
        using kind = state::runner_order_kind;
        using result = state::runner_order_result;
        auto& each = runners.at(order.runner);
        if (each.is_dead || order.expected_sequence != each.record.sequence) {
            return result::does_not_fit;
        }
        const bool is_member =
            is_in_group(each, order.group) && each.record.membership->epoch == order.epoch;
        switch (order.kind) {
        case kind::join:
            return join(each, order);
        case kind::open:
            if (!is_member || each.record.membership->state != state::membership_state::ready) {
                return result::does_not_fit;
            }
            check_open(each, order);
            each.is_opening = true;
            each.next_change_at = now + state::milliseconds(300);
            break;
        case kind::close_now:
        case kind::close_after_queue:
            if (!is_member || each.record.membership->rank != 0) {
                return result::does_not_fit;
            }
            each.is_opening = false;
            each.record.membership->state = state::membership_state::ready;
            break;
        case kind::leave:
            if (!is_member) {
                return result::does_not_fit;
            }
            each.is_opening = false;
            each.record.membership.reset();
            ++each.record.sequence;
            return result::holds_already;
        case kind::stage:
            each.record.staged = {order.model};
            break;
        }
        ++each.record.sequence;
        return result::accepted;
    }

    state::runner_order_result join(runner& each, const state::runner_order& order) {
        if (order.epoch < each.highest_epoch) {
            return state::runner_order_result::outdated;
        }
        check_join(each, order);
        each.highest_epoch = order.epoch;
        each.members = order.members;
        each.is_opening = false;
        each.record.model = order.model;
        const auto position = std::find(order.members.begin(), order.members.end(), each.record.id);
        each.record.membership = state::group_membership{
            order.group, order.epoch, static_cast<std::uint32_t>(position - order.members.begin()),
            state::membership_state::joining};
        each.next_change_at =
            now + state::milliseconds(each.record.has_staged(order.model) ? 200 : 900);
        ++each.record.sequence;
        return state::runner_order_result::accepted;
    }

    // Checks that a runner that has not left its group does not join another one while
    // the head of its own group is open.
    void check_join(const runner& each, const state::runner_order& order) {
        if (!each.record.membership || each.record.membership->group == order.group) {
            return;
        }
        for (const auto& [id, head] : runners) {
            if (!head.is_dead && head.record.is_open_head() &&
                is_in_group(head, each.record.membership->group)) {
                violations.push_back(each.record.id.value() + " joined " + order.group + " while " +
                                     head.record.membership->group + " was open");
            }
        }
    }

    // Checks that no member of the group is still joining when the group opens.
    void check_open(const runner& head, const state::runner_order& order) {
        for (const auto& id : head.members) {
            const auto& member = runners.at(id);
            const bool is_lost = member.is_dead || !is_in_group(member, order.group);
            if (!is_lost && member.record.membership->state == state::membership_state::joining) {
                violations.push_back(order.group + " opened before " + id.value() + " was ready");
            }
        }
    }

    std::mt19937_64 m_random;
    fault_probabilities m_faults;
    std::size_t m_next_id = 0;
    std::vector<late_order> m_late_orders;
    std::map<state::endpoint_id, state::time_point> m_unlist_at;
};

} // namespace savoryrelay::tests
