// Simulates hosts, engines, the platform's table and two holders of a lease. It records
// each invariant that a write to the table or the passing of time violates.
#pragma once

#include "savoryrelay/coordination/group/group_controller.h"
#include "support/faulty_platform.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// Thrown by a hook to simulate that the process of a lease holder is killed.
struct holder_killed {};

/// An engine that joins, loads and leaves.
struct fake_engine {
    bool up = true;
    std::uint64_t fencing_number = 0; ///< highest seen
    state::group_id group{};
    std::uint64_t generation = 0;
    std::string model_version{};
    state::time_point loaded_at{};
    std::set<std::string> keys{};   ///< keys of the orders already applied
    state::time_point changed_at{}; ///< when it was lost or restarted; reports show it later
};

class group_simulation {
public:
    /// Hosts in each fabric domain; there are two zones with two domains each.
    static constexpr std::uint32_t hosts_per_domain = 9;

    faulty_platform platform;
    state::time_point now{std::chrono::hours(1)};
    std::map<state::host_id, fake_engine> engines;
    coordination::engine_reports reports;
    coordination::group_decision_hooks decisions;
    coordination::deployment_spec spec;
    bool engines_check_fencing = false; ///< engines refuse orders with old fencing numbers
    bool lose_order_replies = false;
    bool lose_orders = false;
    bool ignore_checks = false;    ///< naive variant: transactions without checks
    bool ignore_lease = false;     ///< naive variant: transactions without the lease check
    bool down_after_write = false; ///< the store fails right after the next write
    std::uint32_t running = 0;     ///< requests that each engine reports
    int kill_after = -1;           ///< hook calls until the holder is killed
    state::milliseconds load_time{30'000};
    std::string bad_version = "bad"; ///< never loads
    std::set<std::string> violations;
    std::set<std::pair<state::group_state, state::group_state>> group_transitions;
    std::set<std::pair<state::rollout_state, state::rollout_state>> rollout_transitions;

    explicit group_simulation(coordination::group_decision_hooks decision_hooks = {})
        : decisions(std::move(decision_hooks)) {
        std::vector<state::platform_host> hosts;
        for (std::uint32_t i = 0; i < 4 * hosts_per_domain; ++i) {
            const auto domain = i / hosts_per_domain;
            const auto two_digits = [](std::uint32_t n) {
                return (n < 10 ? "0" : "") + std::to_string(n);
            };
            hosts.push_back({state::host_id("h" + two_digits(i)),
                             state::availability_zone_id(domain < 2 ? "za" : "zb"),
                             state::fabric_domain_id("f" + std::to_string(domain)), 8});
            engines[hosts.back().id] = {};
        }
        platform.store().set_hosts(hosts);
        spec.deployment = state::deployment_id("d");
        spec.hosts_per_group = 4;
        spec.rollout = {.desired = 3, .max_surge = 1, .max_unavailable = 1, .max_failures = 2};
        spec.rollout.load_deadline = std::chrono::seconds(120);
        spec.rollout.progress_deadline = std::chrono::minutes(20);
        for (auto& holder : m_holders) {
            holder.controller.emplace(make_controller());
        }
        give_lease(0);
        tick(std::chrono::seconds(1));
    }

    /// Gives the lease to `holder`. The other holder is not notified.
    void give_lease(std::size_t holder) {
        ++m_fencing_number;
        (void)state::collect([&] {
            return platform.store().transact(
                {"lease" + std::to_string(m_fencing_number), {}, {{"lease/d", "x"}}, {}});
        });
        const auto row = state::collect([&] { return platform.store().read_row("lease/d"); });
        m_holders.at(holder).lease = {m_fencing_number, "lease/d", row.value().version, {}};
        m_current_holder = holder;
    }

    /// Runs one controller step of `holder`, which believes that its lease is valid.
    state::attempt<coordination::group_step_summary> step(std::size_t holder) {
        auto& own_state = m_holders.at(holder);
        own_state.lease.valid_until = now + std::chrono::seconds(30);
        try {
            return state::collect(
                [&] { return own_state.controller->step(own_state.lease, spec, now); });
        } catch (const holder_killed&) {
            own_state.controller.emplace(make_controller());
            kill_after = -1;
            return state::failure{state::failure_kind::internal, "killed", {}};
        }
    }
    state::attempt<coordination::group_step_summary> step() { return step(m_current_holder); }

    /// Submits a version through the current holder.
    bool submit(const std::string& version) {
        auto& own_state = m_holders.at(m_current_holder);
        return state::collect(
                   [&] { return own_state.controller->submit(own_state.lease, spec, version); })
            .has_value();
    }

    /// Advances the clock by `span` and lets every running engine report.
    void tick(state::milliseconds span) {
        now += span;
        for (const auto& [host, engine] : engines) {
            report(host, engine);
        }
        check_group_hosts();
    }

    void lose(const state::host_id& host) {
        engines[host] = fake_engine{.up = false, .changed_at = now};
    }
    void restore(const state::host_id& host) {
        if (!engines[host].up) {
            engines[host] = fake_engine{.changed_at = now};
        }
    }
    /// Loses or restores all hosts of domain `index`, 0 to 3.
    void set_domain(std::uint32_t index, bool up) {
        auto at = engines.begin();
        std::advance(at, index * hosts_per_domain);
        for (std::uint32_t i = 0; i < hosts_per_domain; ++i, ++at) {
            up ? restore(at->first) : lose(at->first);
        }
    }

    /// Delivers a recorded order again under another key, like a holder that paused
    /// between the check of its lease and the send.
    void deliver_late(std::size_t index) {
        if (!m_orders.empty()) {
            auto order = m_orders[index % m_orders.size()];
            order.order_key += "/late" + std::to_string(m_orders.size());
            apply(order);
        }
    }

    std::vector<state::group_row> groups() {
        const auto rows = state::collect([&] { return platform.store().scan_rows("group/"); });
        std::vector<state::group_row> found;
        for (const auto& row : rows.value()) {
            found.push_back(m_groups.at(std::stoul(row.value)));
        }
        return found;
    }
    state::rollout_row rollout() {
        const auto row = state::collect([&] { return platform.store().read_row("rollout/d"); });
        return m_rollouts.at(std::stoul(row.value().value));
    }
    bool is_eligible(const state::group_row& group) {
        return group.state == state::group_state::serving &&
               decisions.complete(group, reports, now, std::chrono::seconds(5));
    }
    std::uint32_t eligible_count() {
        const auto rows = groups();
        return static_cast<std::uint32_t>(
            std::count_if(rows.begin(), rows.end(), [&](const auto& g) { return is_eligible(g); }));
    }

    /// Removes the faults of the store, the orders and the holders.
    void clear_faults() {
        platform.store_down = false;
        platform.lose_next_replies = 0;
        platform.before_transact = nullptr;
        lose_orders = lose_order_replies = false;
        kill_after = -1;
        load_time = std::chrono::seconds(30);
    }

    /// Removes every fault and runs until the roll-out has ended and the groups are
    /// stable. Returns whether it ended.
    bool run_to_end(std::size_t holder = 0, std::size_t max_steps = 400) {
        clear_faults();
        running = 0;
        spec.drained_zones.clear();
        for (auto& [host, engine] : engines) {
            restore(host);
        }
        give_lease(holder);
        for (std::size_t i = 0; i < max_steps; ++i) {
            tick(std::chrono::seconds(4));
            (void)step();
            if (has_ended()) {
                return true;
            }
        }
        return false;
    }

    bool has_ended() {
        const auto row = rollout();
        const bool ended = row.state == state::rollout_state::completed ||
                           row.state == state::rollout_state::rolled_back;
        const auto wanted = state::target_version(row).empty() ? 0 : spec.rollout.desired;
        return ended && eligible_count() == wanted && groups().size() == wanted;
    }

private:
    struct holder_state {
        std::optional<coordination::group_controller> controller;
        coordination::held_lease lease;
    };

    void kill_if_due() {
        if (kill_after >= 0 && kill_after-- == 0) {
            throw holder_killed{};
        }
    }

    void report(const state::host_id& host, const fake_engine& engine) {
        if (engine.up) {
            const bool loaded = !engine.group.empty() && now >= engine.loaded_at &&
                                engine.model_version != bad_version;
            reports[host] = {engine.group, engine.generation, loaded, running, now};
        }
    }

    coordination::order_outcome apply(const coordination::engine_order& order) {
        auto& engine = engines[order.host];
        if (!engine.up) {
            return coordination::order_outcome::unknown;
        }
        if (engines_check_fencing && order.fencing_number < engine.fencing_number) {
            return coordination::order_outcome::refused_fencing;
        }
        engine.fencing_number = std::max(engine.fencing_number, order.fencing_number);
        if (engine.keys.insert(order.order_key).second) {
            if (order.kind == coordination::order_kind::join) {
                engine.group = order.group.id;
                engine.generation = order.group.generation;
                engine.model_version = order.group.model_version;
                engine.loaded_at = now + load_time;
            } else if (engine.group == order.group.id) {
                engine.group = {};
            }
        }
        report(order.host, engine);
        return coordination::order_outcome::accepted;
    }

    coordination::group_controller make_controller() {
        auto hooks = platform.hooks();
        const auto inner = hooks.transact;
        hooks.transact = [this, inner](const state::table_transaction& transaction) {
            kill_if_due();
            auto sent = transaction;
            if (ignore_checks) {
                sent.checks.clear();
            }
            if (ignore_lease) {
                std::erase_if(sent.checks,
                              [](const auto& check) { return check.key == "lease/d"; });
            }
            const auto before = groups();
            const auto available = eligible_count();
            auto outcome = inner(sent);
            platform.store_down = platform.store_down || down_after_write;
            down_after_write = false;
            // `before` is the state just before the write only if no other write raced it.
            check_write(before, available, !platform.before_transact);
            kill_if_due();
            return outcome;
        };
        coordination::group_engine_hooks engine_hooks;
        engine_hooks.read_reports = [this] {
            kill_if_due();
            return reports;
        };
        engine_hooks.send_order = [this](const coordination::engine_order& order) {
            kill_if_due();
            m_orders.push_back(order);
            auto outcome = coordination::order_outcome::unknown;
            if (!lose_orders) {
                outcome = apply(order);
            }
            if (lose_order_replies) {
                outcome = coordination::order_outcome::unknown;
            }
            kill_if_due();
            return coordination::order_reply{outcome, now};
        };
        return {hooks, codec(), engine_hooks, decisions, {}};
    }

    /// Stores rows as objects and encodes each one as its index. The real encoders are in
    /// the protocol layer, which the coordination tests do not link.
    coordination::group_codec codec() {
        return {[this](const state::group_row& row) { return store_row(m_groups, row); },
                [this](const std::string& text) -> state::result<state::group_row> {
                    return m_groups.at(std::stoul(text));
                },
                [this](const state::host_claim& row) { return store_row(m_claims, row); },
                [this](const state::rollout_row& row) { return store_row(m_rollouts, row); },
                [this](const std::string& text) -> state::result<state::rollout_row> {
                    return m_rollouts.at(std::stoul(text));
                }};
    }

    template <typename Row>
    static std::string store_row(std::vector<Row>& rows, const Row& row) {
        rows.push_back(row);
        return std::to_string(rows.size() - 1);
    }

    /// Checks the transitions and the budget by comparing the table before and after a write.
    void check_write(const std::vector<state::group_row>& before, std::uint32_t available,
                     bool is_uncontended) {
        std::map<state::group_id, state::group_state> previous;
        for (const auto& row : before) {
            previous[row.id] = row.state;
        }
        std::uint32_t existing = 0;
        std::uint32_t drained = 0;
        for (const auto& row : groups()) {
            existing += row.state != state::group_state::dissolved ? 1 : 0;
            const auto found = previous.find(row.id);
            if (found == previous.end()) {
                if (spec.drained_zones.contains(row.availability_zone)) {
                    violations.insert("new group in a drained zone");
                }
            } else if (found->second != row.state) {
                group_transitions.insert({found->second, row.state});
                if (is_uncontended && !state::is_allowed(found->second, row.state)) {
                    violations.insert("transition outside the table");
                }
                drained += row.state == state::group_state::draining ? 1 : 0;
            }
        }
        const auto& budget = spec.rollout;
        if (existing > budget.desired + budget.max_surge) {
            violations.insert("surge exceeded");
        }
        if (is_uncontended && drained > 0 &&
            available < budget.desired - budget.max_unavailable + drained) {
            violations.insert("unavailability exceeded");
        }
        if (const auto row = state::collect([&] { return platform.store().read_row("rollout/d"); });
            row && row.value().version != 0) {
            const auto state = rollout().state;
            if (m_last_rollout && *m_last_rollout != state) {
                rollout_transitions.insert({*m_last_rollout, state});
            }
            m_last_rollout = state;
        }
        check_group_hosts();
    }

    /// Checks that no host is in two groups and that every eligible group is complete.
    void check_group_hosts() {
        std::set<state::host_id> claimed;
        for (const auto& group : groups()) {
            if (group.state == state::group_state::dissolved) {
                continue;
            }
            for (const auto& host : group.hosts) {
                const auto row = state::collect(
                    [&] { return platform.store().read_row("host/" + host.value()); });
                const bool is_claimed =
                    row.value().version != 0 &&
                    m_claims.at(std::stoul(row.value().value)).group == group.id;
                if (!claimed.insert(host).second || !is_claimed) {
                    violations.insert("host in two groups");
                }
                // Reports count for 5 s, so a loss or restart is known after that time.
                const auto& engine = engines[host];
                const bool member =
                    engine.up && engine.group == group.id && engine.generation == group.generation;
                if (!member && is_eligible(group) &&
                    now - engine.changed_at > std::chrono::seconds(5)) {
                    violations.insert("partial group eligible");
                }
            }
        }
    }

    std::array<holder_state, 2> m_holders;
    std::size_t m_current_holder = 0;
    std::uint64_t m_fencing_number = 0;
    std::vector<coordination::engine_order> m_orders;
    std::vector<state::group_row> m_groups;
    std::vector<state::host_claim> m_claims;
    std::vector<state::rollout_row> m_rollouts;
    std::optional<state::rollout_state> m_last_rollout;
};

/// An operation of a random history: its kind, and the index or number it applies to.
using simulation_operation = std::pair<int, int>;

/// Number of operation kinds that `perform` implements.
constexpr int operation_kind_count = 20;

/// Performs one operation.
inline void perform(group_simulation& simulation, const simulation_operation& operation) {
    using std::chrono::seconds;
    const auto number = static_cast<std::uint32_t>(operation.second);
    auto host = simulation.engines.begin();
    std::advance(host, number % simulation.engines.size());
    const state::availability_zone_id zone(number % 2 == 0 ? "za" : "zb");
    switch (operation.first) {
    case 0:
        simulation.give_lease(number % 2);
        break;
    case 1:
        (void)simulation.step(number % 2); // this may be the former holder
        break;
    case 2:
        simulation.lose(host->first);
        break;
    case 3:
        simulation.restore(host->first);
        break;
    case 4:
        simulation.set_domain(number % 4, false);
        break;
    case 5:
        simulation.set_domain(number % 4, true);
        break;
    case 6:
        simulation.platform.lose_next_replies = 1;
        break;
    case 7:
        simulation.platform.store_down = number % 3 == 0;
        break;
    case 8:
        simulation.kill_after = static_cast<int>(number % 12);
        break;
    case 9:
        simulation.deliver_late(number);
        break;
    case 10:
        simulation.spec.drained_zones.contains(zone)
            ? void(simulation.spec.drained_zones.erase(zone))
            : void(simulation.spec.drained_zones.insert(zone));
        break;
    case 11:
        (void)simulation.submit(number % 3 == 0 ? "bad" : "v" + std::to_string(number));
        break;
    case 12:
        simulation.lose_order_replies = number % 2 == 0;
        break;
    case 13:
        simulation.lose_orders = number % 3 == 0;
        break;
    case 14:
        // Before the next write, the other holder gets the lease and runs a step.
        simulation.platform.before_transact = [&simulation, number] {
            simulation.platform.before_transact = nullptr;
            simulation.give_lease((number + 1) % 2);
            (void)simulation.step((number + 1) % 2);
        };
        (void)simulation.step(number % 2);
        simulation.platform.before_transact = nullptr;
        break;
    case 15:
        simulation.running = number % 2;
        break;
    default:
        // Most operations advance the clock, so that groups reach every state.
        simulation.tick(seconds(1 + number % 20));
        (void)simulation.step();
        break;
    }
}

} // namespace savoryrelay::tests
