// Models two entry hosts, their lease and the runners of one service around a hand-over of
// the lease. The hosts run the real `group_reconciler`, `fleet_table` and
// `lease_coordinator`; the runners obey the platform's rules for orders. A `choice_path`
// decides the fate of each order, digest and report.
#pragma once

#include "savoryrelay/coordination/lease/lease_coordinator.h"
#include "savoryrelay/coordination/serving/group_reconciler.h"
#include "savoryrelay/coordination/serving/runner_observations.h"
#include "support/choice_path.h"
#include "support/faulty_platform.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// How the first host loses the lease.
enum class handover_kind {
    release,           ///< it resigns
    release_return,    ///< it resigns, and its successor resigns soon after
    crash,             ///< its process ends
    freeze,            ///< it stands still for longer than the lease lasts
    freeze_and_return, ///< as `freeze`, and its successor resigns soon after
    lapse,             ///< the store fails for longer than the lease lasts; it renews it after
};

/// What becomes of an order.
enum class order_fate {
    answered,
    answered_late,     ///< carried out at once; the answer takes long
    answer_lost,       ///< carried out at once
    lost,              ///< never carried out
    carried_out_late,  ///< after its sender has given up on it
    carried_out_later, ///< after the next lease holder may have sent orders
};

/// What becomes of a digest of the lease holder.
enum class digest_fate {
    received,
    received_with_poll, ///< the receiver also requests reports from all runners
    received_late,
    lost,
};

} // namespace savoryrelay::tests

template <>
struct savoryrelay::state::enum_table<savoryrelay::tests::handover_kind> {
    using k = savoryrelay::tests::handover_kind;
    static constexpr std::array rows{
        enum_name<k>{k::release, "release"},
        enum_name<k>{k::release_return, "release_return"},
        enum_name<k>{k::crash, "crash"},
        enum_name<k>{k::freeze, "freeze"},
        enum_name<k>{k::freeze_and_return, "freeze_and_return"},
        enum_name<k>{k::lapse, "lapse"},
    };
};

template <>
struct savoryrelay::state::enum_table<savoryrelay::tests::order_fate> {
    using f = savoryrelay::tests::order_fate;
    static constexpr std::array rows{
        enum_name<f>{f::answered, "answered"},
        enum_name<f>{f::answered_late, "answered_late"},
        enum_name<f>{f::answer_lost, "answer_lost"},
        enum_name<f>{f::lost, "lost"},
        enum_name<f>{f::carried_out_late, "carried_out_late"},
        enum_name<f>{f::carried_out_later, "carried_out_later"},
    };
};

template <>
struct savoryrelay::state::enum_table<savoryrelay::tests::digest_fate> {
    using f = savoryrelay::tests::digest_fate;
    static constexpr std::array rows{
        enum_name<f>{f::received, "received"},
        enum_name<f>{f::received_with_poll, "received_with_poll"},
        enum_name<f>{f::received_late, "received_late"},
        enum_name<f>{f::lost, "lost"},
    };
};

namespace savoryrelay::tests {

/// The fixed conditions of a run.
struct handover_case {
    handover_kind kind = handover_kind::release;
    bool restarts_member = false;       ///< a member of an open group restarts before the hand-over
    state::milliseconds handover_at{0}; ///< since the first choice
    state::milliseconds report_lag{200};
    state::milliseconds entry_lag{200};
};

/// One run of the model.
class handover_model {
public:
    static constexpr state::milliseconds step{50};

    std::vector<std::string> violations; ///< of the rules on groups
    std::size_t refused_orders = 0;
    /// From the hand-over until a complete group is open that stays open.
    std::optional<state::milliseconds> time_to_open;

    /// Adds the hash of each state that it reaches to `visited`.
    handover_model(const handover_case& conditions, choice_path& choices,
                   std::unordered_set<std::uint64_t>& visited)
        : m_case(conditions), m_choices(choices), m_visited(visited) {
        m_service.name = "model";
        state::engine_rule engine;
        engine.loads_per_s = 4;
        engine.models = {{"m", group_size, 1.0, 1.0, std::chrono::seconds(4), join_time}};
        m_service.engine = engine;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            start_host(i);
        }
        for (std::uint64_t i = 0; i < group_size + 1; ++i) {
            add_runner("r" + std::to_string(i), i + 1);
        }
    }

    void run() {
        const auto start = m_now;
        const auto choices_from =
            start + (m_case.restarts_member ? warm_up : state::milliseconds(0));
        const auto handover_at = choices_from + m_case.handover_at;
        const auto end = handover_at + duration_after();
        while (m_now < end) {
            m_now += step;
            m_has_choices = m_now > choices_from;
            if (m_case.restarts_member && m_now == choices_from) {
                crash_member();
            }
            if (m_now == handover_at) {
                begin_handover();
            }
            if (m_store_returns_at && m_now >= *m_store_returns_at) {
                m_platform.store_down = false;
            }
            advance_runners();
            for (auto& each : m_hosts) {
                run_host(each);
            }
            if (m_now < handover_at || !has_open_group()) {
                time_to_open.reset();
            } else if (!time_to_open) {
                time_to_open = std::chrono::duration_cast<state::milliseconds>(m_now - handover_at);
            }
            m_visited.insert(hash_state());
        }
    }

private:
    using event = std::function<void()>;

    static constexpr std::uint32_t group_size = 2;
    static constexpr state::milliseconds join_time{200};
    static constexpr state::milliseconds open_time{100};
    static constexpr state::milliseconds close_time{300};
    static constexpr state::milliseconds down_time{600};
    static constexpr state::milliseconds warm_up{1'200}; // until the first group is open
    static constexpr state::milliseconds round_trip{1};
    static constexpr state::milliseconds long_answer{300};
    static constexpr state::milliseconds digest_interval{100};
    static constexpr state::milliseconds digest_delay{300};
    static constexpr state::milliseconds free_models_interval{1'000};
    static constexpr state::milliseconds controller_silence{400};
    static constexpr state::milliseconds freeze_time{2'700};
    static constexpr state::milliseconds restart_time{1'000};
    static constexpr state::milliseconds store_outage{2'200};
    static constexpr state::milliseconds report_interval{700};
    static constexpr state::milliseconds report_interval_busy{100};
    static constexpr coordination::lease_settings lease_times{
        state::milliseconds(1'500), state::milliseconds(400), state::milliseconds(400),
        state::milliseconds(100)};

    struct runner_model {
        state::runner_record record;
        std::uint64_t highest_epoch = 0;
        std::vector<state::endpoint_id> members;
        std::optional<state::time_point> next_change_at;
        bool is_opening = false;
        std::optional<state::time_point> down_until;
        std::deque<std::pair<state::time_point, state::runner_record>> history;
    };
    struct poll_state {
        state::time_point next{};
        bool is_in_progress = false;
        bool is_first = true; // since the host holds the lease
        std::uint32_t failures = 0;
    };
    struct host {
        std::size_t index = 0;
        coordination::fleet_table fleet;
        std::optional<coordination::group_reconciler> reconciler;
        std::uint64_t reconciler_epoch = 0;
        state::metrics metrics;
        std::unique_ptr<coordination::lease_coordinator> lease;
        state::time_point controller_heard_at{};
        state::time_point next_digest{};
        state::time_point next_free_models{};
        std::optional<state::time_point> frozen_until;
        bool is_down = false;
        bool is_resigning = false;
        bool is_controller = false;
        state::time_point controller_since{};
        std::multimap<state::time_point, event> inbox;
        std::map<state::endpoint_id, poll_state> polls;
    };

    void start_host(std::size_t index) {
        auto& each = m_hosts[index];
        each.index = index;
        each.controller_heard_at = m_now;
        each.lease = std::make_unique<coordination::lease_coordinator>(
            lease_times, state::member_id("h" + std::to_string(index)), 1,
            coordination::lease_coordinator::dependencies{.platform = m_platform.hooks(),
                                                          .codec = codec(),
                                                          .clock = [this] { return m_now; },
                                                          .is_first_start = true},
            each.metrics);
    }

    state::lease_codec codec() {
        return {[this](const state::lease_row& row) {
                    m_lease_rows.push_back(row);
                    return std::to_string(m_lease_rows.size() - 1);
                },
                [this](const std::string& text) -> state::result<state::lease_row> {
                    return m_lease_rows.at(std::stoul(text));
                }};
    }

    // Adds a free runner whose last group served the model. Both hosts know it.
    void add_runner(const std::string& id, std::uint64_t started_ms) {
        runner_model added;
        added.record.id = state::endpoint_id(id);
        added.record.service = m_service.name;
        added.record.fabric_domain = state::fabric_domain_id("d");
        added.record.availability_zone = state::availability_zone_id("z");
        added.record.started_ms = started_ms;
        added.record.staged = {"m"};
        added.record.model = "m";
        added.history.emplace_back(m_now, added.record);
        state::runner_observation free;
        free.id = added.record.id;
        free.started_ms = started_ms;
        free.model = "m";
        for (auto& each : m_hosts) {
            each.fleet.apply_entry(added.record, m_now);
            each.fleet.apply_observation(free, m_now);
        }
        m_runners[added.record.id] = std::move(added);
    }

    // Returns option 0 before the first choice.
    std::size_t choose(std::size_t options) {
        return m_has_choices ? m_choices.choose(options) : 0;
    }

    [[nodiscard]] state::milliseconds duration_after() const {
        switch (m_case.kind) {
        case handover_kind::release:
            return std::chrono::milliseconds(3'500);
        case handover_kind::release_return:
            return std::chrono::milliseconds(4'500);
        case handover_kind::crash:
        case handover_kind::freeze:
        case handover_kind::lapse:
            return std::chrono::milliseconds(5'500);
        case handover_kind::freeze_and_return:
            return std::chrono::milliseconds(6'500);
        }
        return {};
    }

    void begin_handover() {
        auto& first = m_hosts[0];
        switch (m_case.kind) {
        case handover_kind::release:
            first.is_resigning = true;
            break;
        case handover_kind::release_return:
            first.is_resigning = true;
            m_returns_at = m_now + restart_time;
            break;
        case handover_kind::crash:
            first.is_down = true;
            break;
        case handover_kind::freeze:
        case handover_kind::freeze_and_return:
            first.frozen_until = m_now + freeze_time;
            if (m_case.kind == handover_kind::freeze_and_return) {
                m_returns_at = m_now + freeze_time + controller_silence;
            }
            break;
        case handover_kind::lapse:
            m_platform.store_down = true;
            m_store_returns_at = m_now + store_outage;
            break;
        }
    }

    // The platform and the runners.

    void crash_member() {
        for (auto& [id, each] : m_runners) {
            if (each.record.membership && each.record.membership->rank == 1) {
                each.down_until = m_now + down_time;
                each.record.membership.reset();
                return;
            }
        }
    }

    void advance_runners() {
        for (auto& [id, each] : m_runners) {
            if (each.down_until) {
                if (m_now < *each.down_until) {
                    continue;
                }
                restart(each);
            }
            if (each.next_change_at && m_now >= *each.next_change_at) {
                each.next_change_at.reset();
                complete_change(each);
            }
            const bool is_changed =
                each.record.membership != each.history.back().second.membership ||
                each.record.started_ms != each.history.back().second.started_ms;
            if (is_changed) {
                publish_entry(each.record);
            }
            each.history.emplace_back(m_now, each.record);
            while (each.history.size() > 1 && m_now - each.history[1].first >= m_case.report_lag) {
                each.history.pop_front();
            }
        }
        while (!m_late_orders.empty() && m_late_orders.begin()->first <= m_now) {
            apply(m_late_orders.begin()->second);
            m_late_orders.erase(m_late_orders.begin());
        }
    }

    static void restart(runner_model& each) {
        auto record = each.record;
        record.started_ms += 100;
        record.sequence = 0;
        record.membership.reset();
        record.model.clear();
        auto history = each.history;
        each = {};
        each.record = std::move(record);
        // Reports of the new incarnation show nothing of the earlier one.
        history.clear();
        auto before = each.record;
        before.started_ms = 0;
        history.emplace_back(state::time_point{}, before);
        each.history = std::move(history);
    }

    void complete_change(runner_model& each) {
        if (!each.record.membership) {
            return;
        }
        auto& membership = *each.record.membership;
        if (each.is_opening) {
            each.is_opening = false;
            membership.state = state::membership_state::open;
            check_opened_group(each);
            return;
        }
        membership.state = state::membership_state::ready;
        m_ready_lists.insert({membership.group, membership.epoch, each.members, each.record.id});
    }

    void publish_entry(state::runner_record entry) {
        entry.sequence = 0; // entries do not count orders
        for (auto& each : m_hosts) {
            post(each, m_case.entry_lag,
                 [this, &each, entry] { each.fleet.apply_entry(entry, m_now); });
        }
    }

    // Rule PARTIAL: the group has the model's size, and each of its members has been ready
    // under its name, epoch and list.
    void check_opened_group(const runner_model& head) {
        const auto& membership = *head.record.membership;
        bool is_complete = head.members.size() == group_size;
        for (const auto& id : head.members) {
            is_complete = is_complete && m_ready_lists.contains({membership.group, membership.epoch,
                                                                 head.members, id});
        }
        if (!is_complete) {
            violations.push_back("PARTIAL: " + membership.group + " opened");
        }
    }

    // Rule TWO: a runner joins no group while the head of another group, which it has not
    // left, is open or closing. Its group may open later, so the stricter condition that it
    // has left its group is checked too.
    void check_join(const runner_model& each, const state::runner_order& order) {
        if (m_lists.try_emplace(order.group, order.members).first->second != order.members) {
            violations.push_back("name used twice: " + order.group);
        }
        if (!each.record.membership || each.record.membership->group == order.group) {
            return;
        }
        const auto& group = *each.record.membership;
        const auto& head = m_runners.at(each.members.front());
        const bool is_with_head = !head.down_until && head.record.membership &&
                                  head.record.membership->group == group.group;
        const bool is_open =
            is_with_head && (head.record.membership->state == state::membership_state::open ||
                             head.record.membership->state == state::membership_state::closing);
        violations.push_back((is_open ? "TWO: " : "not left: ") + each.record.id.value() +
                             " joined " + order.group + " from " + group.group);
    }

    std::optional<state::runner_order_result> apply(const state::runner_order& order) {
        using result = state::runner_order_result;
        auto& each = m_runners.at(order.runner);
        if (each.down_until) {
            return std::nullopt;
        }
        if (order.expected_sequence != each.record.sequence) {
            return result::does_not_fit;
        }
        const auto outcome = begin(each, order);
        if (outcome == result::accepted || order.kind == state::runner_order_kind::leave) {
            each.record.sequence += outcome == result::does_not_fit ? 0 : 1;
        }
        return outcome;
    }

    state::runner_order_result begin(runner_model& each, const state::runner_order& order) {
        using kind = state::runner_order_kind;
        using result = state::runner_order_result;
        auto& membership = each.record.membership;
        const bool is_member =
            membership && membership->group == order.group && membership->epoch == order.epoch;
        if (order.kind == kind::join) {
            return join(each, order);
        }
        if (order.kind == kind::stage) {
            each.record.staged = {order.model};
            return result::accepted;
        }
        if (!is_member) {
            return result::does_not_fit;
        }
        if (order.kind == kind::leave) {
            membership.reset();
            each.is_opening = false;
            each.next_change_at.reset();
            return result::holds_already;
        }
        if (membership->rank != 0) {
            return result::does_not_fit;
        }
        if (order.kind == kind::open) {
            if (membership->state != state::membership_state::ready || each.is_opening) {
                return result::does_not_fit;
            }
            each.is_opening = true;
            each.next_change_at = m_now + open_time;
            return result::accepted;
        }
        if (membership->state != state::membership_state::open && !each.is_opening) {
            return result::does_not_fit;
        }
        each.is_opening = false;
        if (order.kind == kind::close_now) {
            membership->state = state::membership_state::ready;
            each.next_change_at.reset();
        } else {
            membership->state = state::membership_state::closing;
            each.next_change_at = m_now + close_time;
        }
        return result::accepted;
    }

    state::runner_order_result join(runner_model& each, const state::runner_order& order) {
        using result = state::runner_order_result;
        const auto& known = each.record.membership;
        const bool is_same_group =
            known && known->group == order.group && known->epoch == order.epoch;
        if (order.epoch < each.highest_epoch || (is_same_group && each.members != order.members)) {
            return result::outdated;
        }
        if (is_same_group) {
            return result::holds_already;
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
        each.next_change_at = m_now + join_time;
        return result::accepted;
    }

    [[nodiscard]] bool has_open_group() const {
        return std::any_of(m_runners.begin(), m_runners.end(), [&](const auto& entry) {
            const auto& head = entry.second;
            return !head.down_until && head.record.is_open_head() &&
                   std::all_of(head.members.begin(), head.members.end(), [&](const auto& id) {
                       const auto& membership = m_runners.at(id).record.membership;
                       return membership && membership->group == head.record.membership->group;
                   });
        });
    }

    // The hosts.

    // Delivers an event to a host after `delay`. A host that stands still receives it later.
    void post(host& receiver, state::milliseconds delay, event action) {
        receiver.inbox.emplace(m_now + delay, std::move(action));
    }

    void run_host(host& each) {
        if (each.is_down || (each.frozen_until && m_now < *each.frozen_until)) {
            return;
        }
        deliver(each, std::exchange(each.frozen_until, {}).has_value());
        if ((m_now.time_since_epoch() / step) % 2 == 0) {
            maintain_lease(each);
        }
        each.fleet.refresh(m_now);
        const auto phase = each.lease->phase(lease_name, m_now);
        if (m_returns_at && m_now >= *m_returns_at && each.index == 1 &&
            phase == state::lease_phase::holding) {
            each.is_resigning = true;
        }
        if (m_returns_at && m_now >= *m_returns_at && each.index == 0) {
            each.is_resigning = false;
        }
        const bool is_holder = phase == state::lease_phase::holding;
        if (is_holder && !each.is_controller) {
            each.controller_since = m_now;
            each.polls.clear();
        }
        each.is_controller = is_holder;
        if (!is_holder) {
            return;
        }
        send_digest(each);
        poll_due_runners(each);
        if (!each.is_resigning) {
            plan_orders(each);
        }
    }

    // Digests arrive on a thread of their own, so a host that has stood still may handle
    // what has arrived in any order.
    void deliver(host& each, bool has_stood_still) {
        std::vector<event> due;
        while (!each.inbox.empty() && each.inbox.begin()->first <= m_now) {
            due.push_back(std::move(each.inbox.begin()->second));
            each.inbox.erase(each.inbox.begin());
        }
        if (has_stood_still && choose(2) == 1) {
            std::reverse(due.begin(), due.end());
        }
        for (const auto& action : due) {
            action();
        }
    }

    void maintain_lease(host& each) {
        const auto phase = each.lease->phase(lease_name, m_now);
        const bool is_observing = phase == state::lease_phase::observing;
        const bool has_ended = is_observing || phase == state::lease_phase::lapsed;
        const bool controller_is_alive = m_now - each.controller_heard_at < controller_silence;
        if (each.is_resigning ? has_ended : is_observing && controller_is_alive) {
            return;
        }
        static_cast<void>(
            state::collect([&] { return each.lease->maintain(lease_name, !each.is_resigning); }));
    }

    void send_digest(host& sender) {
        if (m_now < sender.next_digest) {
            return;
        }
        sender.next_digest = m_now + digest_interval;
        const bool sends_free = m_now >= sender.next_free_models;
        if (sends_free) {
            sender.next_free_models = m_now + free_models_interval;
        }
        std::vector<state::runner_observation> told;
        const auto fleet = sender.fleet.snapshot();
        for (const auto& runner : *fleet) {
            if (const auto observation =
                    coordination::observe_as_controller(runner, sends_free, m_now)) {
                told.push_back(*observation);
            }
        }
        auto& receiver = m_hosts[1 - sender.index];
        const auto fate =
            static_cast<digest_fate>(choose(state::enum_table<digest_fate>::rows.size()));
        if (fate == digest_fate::lost) {
            return;
        }
        post(receiver, fate == digest_fate::received_late ? digest_delay : round_trip,
             [this, &receiver, told] {
                 receiver.controller_heard_at = m_now;
                 for (const auto& observation : told) {
                     receiver.fleet.apply_observation(observation, m_now);
                 }
             });
        if (fate == digest_fate::received_with_poll) {
            for (const auto& [id, each] : m_runners) {
                post(receiver, round_trip,
                     [this, &receiver, id = id] { apply_report(receiver, id); });
            }
        }
    }

    // Returns whether the runner's report was applied.
    bool apply_report(host& receiver, const state::endpoint_id& id) {
        const auto& each = m_runners.at(id);
        if (each.down_until) {
            return false;
        }
        const auto& seen = each.history.front().second;
        state::runner_report report;
        report.started_ms = each.record.started_ms;
        report.sequence = seen.sequence;
        report.model = seen.model;
        report.staged = seen.staged;
        report.membership = seen.membership;
        return receiver.fleet.apply_report(id, report, m_now);
    }

    void poll_due_runners(host& each) {
        for (const auto& [id, runner] : m_runners) {
            auto& poll = each.polls[id];
            if (poll.is_in_progress || m_now < poll.next) {
                continue;
            }
            poll.is_in_progress = true;
            const bool is_late = poll.is_first && choose(2) == 1;
            poll.is_first = false;
            post(each, is_late ? long_answer / 2 : round_trip,
                 [this, &each, id = id] { note_poll(each, id); });
        }
    }

    void note_poll(host& each, const state::endpoint_id& id) {
        auto& poll = each.polls[id];
        poll.is_in_progress = false;
        const auto known = each.fleet.find(id);
        if (!apply_report(each, id)) {
            ++poll.failures;
            poll.next = poll.failures < 2 ? m_now : m_now + report_interval;
            if (poll.failures >= 2) {
                each.fleet.note_silence(id, known->record.started_ms, m_now);
            }
            return;
        }
        poll.failures = 0;
        const auto runner = each.fleet.find(id);
        const auto& membership = runner->record.membership;
        const bool is_busy =
            runner->awaits_report_since ||
            (membership &&
             (membership->state == state::membership_state::joining ||
              (membership->state == state::membership_state::ready && membership->rank == 0)));
        poll.next = m_now + (is_busy ? report_interval_busy : report_interval);
    }

    void plan_orders(host& each) {
        each.fleet.refresh(m_now);
        const auto ticket =
            state::collect([&] { return each.lease->begin_order(lease_name, m_now); });
        if (!ticket) {
            return;
        }
        static_cast<void>(state::collect([&] {
            return each.lease->end_order(ticket.value(), coordination::order_end::replied, m_now);
        }));
        const auto epoch = ticket.value().fencing_number;
        if (std::exchange(each.reconciler_epoch, epoch) != epoch) {
            each.reconciler.emplace(coordination::group_reconciler_settings{});
        }
        const auto fleet = each.fleet.snapshot();
        coordination::group_reconciler_input input;
        input.service = &m_service;
        input.fleet = &*fleet;
        input.work = {{"m", 2.0}};
        input.epoch = epoch;
        input.holder_since = each.controller_since;
        for (const auto& order : each.reconciler->plan(input, m_now)) {
            send_order(each, order);
        }
    }

    void send_order(host& sender, const state::runner_order& order) {
        const auto ticket =
            state::collect([&] { return sender.lease->begin_order(lease_name, m_now); });
        if (!ticket) {
            return;
        }
        auto fate = static_cast<order_fate>(choose(state::enum_table<order_fate>::rows.size()));
        std::optional<state::runner_order_result> result;
        switch (fate) {
        case order_fate::answered:
        case order_fate::answered_late:
        case order_fate::answer_lost:
            result = apply(order);
            break;
        case order_fate::lost:
            break;
        case order_fate::carried_out_late:
            m_late_orders.emplace(m_now + lease_times.order_timeout * 3 / 2, order);
            break;
        case order_fate::carried_out_later:
            m_late_orders.emplace(m_now + lease_times.order_timeout * 3, order);
            break;
        }
        const bool is_answered =
            result && (fate == order_fate::answered || fate == order_fate::answered_late);
        const auto delay = !is_answered                        ? lease_times.order_timeout
                           : fate == order_fate::answered_late ? long_answer
                                                               : round_trip;
        const auto answer = is_answered ? *result : state::runner_order_result::unknown;
        post(sender, delay, [this, &sender, order, answer, ticket = ticket.value()] {
            note_answer(sender, order, answer, ticket);
        });
    }

    void note_answer(host& sender, const state::runner_order& order,
                     state::runner_order_result answer, const coordination::order_ticket& ticket) {
        using result = state::runner_order_result;
        const auto end = answer == result::unknown ? coordination::order_end::no_reply
                                                   : coordination::order_end::replied;
        static_cast<void>(
            state::collect([&] { return sender.lease->end_order(ticket, end, m_now); }));
        const bool has_left =
            order.kind == state::runner_order_kind::leave && answer == result::holds_already;
        refused_orders += answer == result::does_not_fit || answer == result::outdated ? 1 : 0;
        if (answer == result::accepted || has_left) {
            sender.fleet.note_order_accepted(order, m_now);
        }
        if (sender.reconciler) {
            sender.reconciler->note_result(order, answer, m_now);
        }
        sender.polls[order.runner].next = m_now + report_interval_busy;
    }

    // The hash of a state.

    struct hasher {
        std::uint64_t value = 14'695'981'039'346'656'037U;
        void add(std::uint64_t part) {
            value ^= part + 0x9e37'79b9'7f4a'7c15U + (value << 6U) + (value >> 2U);
        }
        void add(const std::string& part) { add(std::hash<std::string>{}(part)); }
        void add(const std::optional<state::group_membership>& membership) {
            if (membership) {
                add(membership->group);
                add(membership->rank * 8U + static_cast<std::uint64_t>(membership->state));
            }
            add(1);
        }
    };

    void add_time(hasher& hash, const std::optional<state::time_point>& at) const {
        hash.add(at ? static_cast<std::uint64_t>((m_now - *at) / std::chrono::milliseconds(1)) : 1);
    }

    // Covers what the runners, the orders on their way, and the tables and leases of the
    // hosts contain, but not the reconcilers' own state.
    [[nodiscard]] std::uint64_t hash_state() {
        hasher hash;
        for (const auto& [id, each] : m_runners) {
            hash.add(each.record.started_ms);
            hash.add(each.record.sequence);
            hash.add(each.record.membership);
            hash.add(each.is_opening ? 1 : 0);
            add_time(hash, each.next_change_at);
            add_time(hash, each.down_until);
        }
        for (const auto& [at, order] : m_late_orders) {
            add_time(hash, at);
            hash.add(order.runner.value());
            hash.add(static_cast<std::uint64_t>(order.kind));
            hash.add(order.expected_sequence);
        }
        for (auto& each : m_hosts) {
            hash.add(static_cast<std::uint64_t>(each.lease->phase(lease_name, m_now)));
            const auto fleet = each.fleet.snapshot();
            for (const auto& view : *fleet) {
                hash.add(view.record.started_ms);
                hash.add(view.record.sequence);
                hash.add(view.record.membership);
                add_time(hash, view.reported_at);
                add_time(hash, view.silent_since);
                add_time(hash, view.awaits_report_since);
            }
            for (const auto& [at, action] : each.inbox) {
                add_time(hash, at);
            }
        }
        return hash.value;
    }

    const state::deployment_id lease_name{"groups"};
    const handover_case m_case;
    choice_path& m_choices;
    std::unordered_set<std::uint64_t>& m_visited;
    bool m_has_choices = false;
    state::time_point m_now{std::chrono::hours(1)};
    state::service_rule m_service;
    faulty_platform m_platform;
    std::vector<state::lease_row> m_lease_rows;
    std::array<host, 2> m_hosts;
    std::map<state::endpoint_id, runner_model> m_runners;
    std::multimap<state::time_point, state::runner_order> m_late_orders;
    std::optional<state::time_point> m_returns_at; // when the second host resigns
    std::optional<state::time_point> m_store_returns_at;
    std::map<std::string, std::vector<state::endpoint_id>> m_lists; // of members, by group
    // Group, epoch, list of members, and the member that was ready under them.
    std::set<
        std::tuple<std::string, std::uint64_t, std::vector<state::endpoint_id>, state::endpoint_id>>
        m_ready_lists;
};

} // namespace savoryrelay::tests
