// A small world of hosts, engines, a table and two holders of a lease. It
// records each promise that a write to the table or a step of time breaks.
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

/// Thrown from a hook to end a holder between two steps.
struct killed {};

/// An engine that joins, loads and leaves.
struct fake_engine {
    bool up = true;
    std::uint64_t fencing_number = 0; ///< highest seen; 0 when the engine ignores numbers
    state::group_id group{};
    std::uint64_t generation = 0;
    std::string model_version{};
    state::time_point loaded_at{};
    std::set<std::string> keys{};   ///< orders already applied
    state::time_point changed_at{}; ///< when it was lost or restarted, which it reports later
};

class group_world {
public:
    /// Hosts in each of two domains in each of two zones.
    static constexpr std::uint32_t hosts_per_domain = 9;

    faulty_platform platform;
    state::time_point now{std::chrono::hours(1)};
    std::map<state::host_id, fake_engine> engines;
    coordination::engine_reports reports;
    coordination::group_decisions decisions;
    coordination::deployment_demand demand;
    bool engines_fence = false; ///< engines refuse old fencing numbers
    bool lose_order_replies = false;
    bool lose_orders = false;
    bool ignore_checks = false;    ///< naive: transactions without their checks
    bool ignore_lease = false;     ///< naive: transactions without the check of the lease row
    bool down_after_write = false; ///< the store fails right after the next write
    std::uint32_t running = 0;     ///< requests that each engine reports
    int kill_after = -1;           ///< hook calls until the holder is killed
    state::milliseconds load_time{30'000};
    std::string bad_version = "bad"; ///< never loads
    std::set<std::string> violations;
    std::set<std::pair<state::group_state, state::group_state>> steps;
    std::set<std::pair<state::rollout_state, state::rollout_state>> rollout_steps;

    explicit group_world(coordination::group_decisions with = {}) : decisions(std::move(with)) {
        std::vector<state::platform_host> hosts;
        for (std::uint32_t i = 0; i < 4 * hosts_per_domain; ++i) {
            const auto domain = i / hosts_per_domain;
            const auto two = [](std::uint32_t n) {
                return (n < 10 ? "0" : "") + std::to_string(n);
            };
            hosts.push_back({state::host_id("h" + two(i)),
                             state::availability_zone_id(domain < 2 ? "za" : "zb"),
                             state::fabric_domain_id("f" + std::to_string(domain)), 8});
            engines[hosts.back().id] = {};
        }
        platform.store().set_hosts(hosts);
        demand.deployment = state::deployment_id("d");
        demand.hosts_per_group = 4;
        demand.rollout = {.desired = 3, .max_surge = 1, .max_unavailable = 1, .max_failures = 2};
        demand.rollout.load_deadline = std::chrono::seconds(120);
        demand.rollout.progress_deadline = std::chrono::minutes(20);
        for (auto& holder : m_holders) {
            holder.controller.emplace(make_controller());
        }
        take_lease(0);
        tick(std::chrono::seconds(1));
    }

    /// Gives the lease to `holder`; the other one does not notice.
    void take_lease(std::size_t holder) {
        ++m_fencing;
        (void)state::collect([&] {
            return platform.store().transact(
                {"lease" + std::to_string(m_fencing), {}, {{"lease/d", "x"}}, {}});
        });
        const auto row = state::collect([&] { return platform.store().read_row("lease/d"); });
        m_holders.at(holder).lease = {m_fencing, "lease/d", row.value().version, {}};
        m_present = holder;
    }

    /// One step of a holder, which takes its own lease for valid.
    state::attempt<coordination::group_step_summary> step(std::size_t holder) {
        auto& self = m_holders.at(holder);
        self.lease.valid_until = now + std::chrono::seconds(30);
        try {
            return state::collect([&] { return self.controller->step(self.lease, demand, now); });
        } catch (const killed&) {
            self.controller.emplace(make_controller());
            kill_after = -1;
            return state::failure{state::failure_kind::internal, "killed", {}};
        }
    }
    state::attempt<coordination::group_step_summary> step() { return step(m_present); }

    /// Submits a version through the present holder.
    bool submit(const std::string& version) {
        auto& self = m_holders.at(m_present);
        return state::collect([&] { return self.controller->submit(self.lease, demand, version); })
            .has_value();
    }

    /// Lets time pass and every live engine report.
    void tick(state::milliseconds span) {
        now += span;
        for (const auto& [host, engine] : engines) {
            report(host, engine);
        }
        check();
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

    /// Delivers a recorded order once more, under another key, as a holder
    /// would that paused between its check and the send.
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
    bool eligible(const state::group_row& group) {
        return group.state == state::group_state::serving &&
               decisions.complete(group, reports, now, std::chrono::seconds(5));
    }
    std::uint32_t eligible_count() {
        const auto rows = groups();
        return static_cast<std::uint32_t>(
            std::count_if(rows.begin(), rows.end(), [&](const auto& g) { return eligible(g); }));
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

    /// Removes every fault and runs until the roll-out has ended and no group
    /// changes. Returns whether it ended.
    bool settle(std::size_t holder = 0, std::size_t steps_allowed = 400) {
        clear_faults();
        running = 0;
        demand.drained_zones.clear();
        for (auto& [host, engine] : engines) {
            restore(host);
        }
        take_lease(holder);
        for (std::size_t i = 0; i < steps_allowed; ++i) {
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
        const auto wanted = state::target_version(row).empty() ? 0 : demand.rollout.desired;
        return ended && eligible_count() == wanted && groups().size() == wanted;
    }

private:
    struct holder_state {
        std::optional<coordination::group_controller> controller;
        coordination::lease_proof lease;
    };

    void may_kill() {
        if (kill_after >= 0 && kill_after-- == 0) {
            throw killed{};
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
        if (engines_fence && order.fencing_number < engine.fencing_number) {
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
            may_kill();
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
            // `before` is from the same moment only when no race ran in between.
            observe(before, available, !platform.before_transact);
            may_kill();
            return outcome;
        };
        coordination::group_engine_hooks to_engines;
        to_engines.read_reports = [this] {
            may_kill();
            return reports;
        };
        to_engines.send_order = [this](const coordination::engine_order& order) {
            may_kill();
            m_orders.push_back(order);
            auto outcome = coordination::order_outcome::unknown;
            if (!lose_orders) {
                outcome = apply(order);
            }
            if (lose_order_replies) {
                outcome = coordination::order_outcome::unknown;
            }
            may_kill();
            return coordination::order_reply{outcome, now};
        };
        return {hooks, codec(), to_engines, decisions, {}};
    }

    /// Rows are kept as objects; their text is the index. The real encoders are
    /// in the protocol layer, which coordination's tests do not link.
    coordination::group_codec codec() {
        return {[this](const state::group_row& row) { return keep(m_groups, row); },
                [this](const std::string& text) -> state::result<state::group_row> {
                    return m_groups.at(std::stoul(text));
                },
                [this](const state::host_claim& row) { return keep(m_claims, row); },
                [this](const state::rollout_row& row) { return keep(m_rollouts, row); },
                [this](const std::string& text) -> state::result<state::rollout_row> {
                    return m_rollouts.at(std::stoul(text));
                }};
    }

    template <typename Row>
    static std::string keep(std::vector<Row>& rows, const Row& row) {
        rows.push_back(row);
        return std::to_string(rows.size() - 1);
    }

    /// Compares the table before and after a write.
    void observe(const std::vector<state::group_row>& before, std::uint32_t available, bool alone) {
        std::map<state::group_id, state::group_state> old;
        for (const auto& row : before) {
            old[row.id] = row.state;
        }
        std::uint32_t live = 0;
        std::uint32_t drained = 0;
        for (const auto& row : groups()) {
            live += row.state != state::group_state::dissolved ? 1 : 0;
            const auto found = old.find(row.id);
            if (found == old.end()) {
                if (demand.drained_zones.contains(row.availability_zone)) {
                    violations.insert("new group in a drained zone");
                }
            } else if (found->second != row.state) {
                steps.insert({found->second, row.state});
                if (alone && !state::is_allowed(found->second, row.state)) {
                    violations.insert("step outside the table");
                }
                drained += row.state == state::group_state::draining ? 1 : 0;
            }
        }
        const auto& budget = demand.rollout;
        if (live > budget.desired + budget.max_surge) {
            violations.insert("surge exceeded");
        }
        if (alone && drained > 0 && available < budget.desired - budget.max_unavailable + drained) {
            violations.insert("unavailability exceeded");
        }
        if (const auto row = state::collect([&] { return platform.store().read_row("rollout/d"); });
            row && row.value().version != 0) {
            const auto state = rollout().state;
            if (m_last_rollout && *m_last_rollout != state) {
                rollout_steps.insert({*m_last_rollout, state});
            }
            m_last_rollout = state;
        }
        check();
    }

    void check() {
        std::set<state::host_id> claimed;
        for (const auto& group : groups()) {
            if (group.state == state::group_state::dissolved) {
                continue;
            }
            for (const auto& host : group.hosts) {
                const auto row = state::collect(
                    [&] { return platform.store().read_row("host/" + host.value()); });
                const bool mine = row.value().version != 0 &&
                                  m_claims.at(std::stoul(row.value().value)).group == group.id;
                if (!claimed.insert(host).second || !mine) {
                    violations.insert("host in two groups");
                }
                // A report is at most 5 s old, so a loss or restart is known by then.
                const auto& engine = engines[host];
                const bool member =
                    engine.up && engine.group == group.id && engine.generation == group.generation;
                if (!member && eligible(group) &&
                    now - engine.changed_at > std::chrono::seconds(5)) {
                    violations.insert("partial group eligible");
                }
            }
        }
    }

    std::array<holder_state, 2> m_holders;
    std::size_t m_present = 0;
    std::uint64_t m_fencing = 0;
    std::vector<coordination::engine_order> m_orders;
    std::vector<state::group_row> m_groups;
    std::vector<state::host_claim> m_claims;
    std::vector<state::rollout_row> m_rollouts;
    std::optional<state::rollout_state> m_last_rollout;
};

/// One operation of a random history: what to do, and with which host or number.
using world_operation = std::pair<int, int>;

/// Number of operations that `perform` knows.
constexpr int world_operations = 20;

/// Performs one operation.
inline void perform(group_world& world, const world_operation& operation) {
    using std::chrono::seconds;
    const auto number = static_cast<std::uint32_t>(operation.second);
    auto host = world.engines.begin();
    std::advance(host, number % world.engines.size());
    const state::availability_zone_id zone(number % 2 == 0 ? "za" : "zb");
    switch (operation.first) {
    case 0:
        world.take_lease(number % 2);
        break;
    case 1:
        (void)world.step(number % 2);
        break; // either holder, also the former one
    case 2:
        world.lose(host->first);
        break;
    case 3:
        world.restore(host->first);
        break;
    case 4:
        world.set_domain(number % 4, false);
        break;
    case 5:
        world.set_domain(number % 4, true);
        break;
    case 6:
        world.platform.lose_next_replies = 1;
        break;
    case 7:
        world.platform.store_down = number % 3 == 0;
        break;
    case 8:
        world.kill_after = static_cast<int>(number % 12);
        break;
    case 9:
        world.deliver_late(number);
        break;
    case 10:
        world.demand.drained_zones.contains(zone) ? void(world.demand.drained_zones.erase(zone))
                                                  : void(world.demand.drained_zones.insert(zone));
        break;
    case 11:
        (void)world.submit(number % 3 == 0 ? "bad" : "v" + std::to_string(number));
        break;
    case 12:
        world.lose_order_replies = number % 2 == 0;
        break;
    case 13:
        world.lose_orders = number % 3 == 0;
        break;
    case 14:
        // The lease passes on, and the other holder steps, before the next write.
        world.platform.before_transact = [&world, number] {
            world.platform.before_transact = nullptr;
            world.take_lease((number + 1) % 2);
            (void)world.step((number + 1) % 2);
        };
        (void)world.step(number % 2);
        world.platform.before_transact = nullptr;
        break;
    case 15:
        world.running = number % 2;
        break;
    default:
        // Most operations let time pass, so that groups reach every state.
        world.tick(seconds(1 + number % 20));
        (void)world.step();
        break;
    }
}

} // namespace savoryrelay::tests
