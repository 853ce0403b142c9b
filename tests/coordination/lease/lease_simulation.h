// Simulates several members with their own clocks, one table that can be restored from a copy, and
// one engine. Tests run it step by step; it records a violation when an order, a reply or a write
// of an earlier holder takes effect after one of a later holder, when two members hold the lease,
// or when a fencing number is not above all earlier ones.
#pragma once

#include "savoryrelay/coordination/lease/lease_coordinator.h"
#include "support/faulty_platform.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// A simulation of leases. `violations` stays empty while there is at most one effective holder.
class lease_simulation {
public:
    static constexpr std::size_t member_count = 3;

    /// When the store is restored.
    enum class restore_time {
        at_once,
        before_next_transaction, ///< while it is on its way to the store
        after_next_transaction,  ///< while the reply is on its way back
    };

    /// `enforces_fencing`: the engine rejects fencing numbers lower than the highest one it
    /// applied.
    explicit lease_simulation(bool enforces_fencing, coordination::lease_rules rules =
                                                         coordination::standard_lease_rules())
        : m_enforces_fencing(enforces_fencing), m_rules(std::move(rules)) {
        copy_store();
        for (std::size_t i = 0; i < member_count; ++i) {
            restart(i);
        }
    }

    faulty_platform platform;
    state::milliseconds now{0};         ///< simulated time since the start
    state::milliseconds store_delay{0}; ///< delay before and after each transaction
    bool check_lease_in_writes = true;  ///< false: holders write without the check
    bool is_first_start = false;        ///< of the members that `restart` starts
    bool hides_era = false;             ///< true: the store's answers state no era
    std::vector<std::string> violations;
    const coordination::lease_settings settings;
    const state::deployment_id deployment{"d"};

    coordination::lease_coordinator& at(std::size_t index) { return *m_members[index].coordinator; }
    /// Returns the time of a member's own clock. The clocks differ by fixed offsets.
    [[nodiscard]] state::time_point clock(std::size_t index) const {
        return state::time_point(state::milliseconds(1'000'000 * (index + 1)) + now);
    }
    void restart(std::size_t index) {
        auto& each = m_members[index];
        ++each.incarnation;
        each.orders.clear();
        each.write.reset();
        each.metrics = std::make_unique<state::metrics>();
        each.coordinator = std::make_unique<coordination::lease_coordinator>(
            settings, state::member_id("m" + std::to_string(index)), each.incarnation,
            coordination::lease_coordinator::dependencies{hooks(), codec(index), m_rules,
                                                          [this, index] { return clock(index); },
                                                          is_first_start},
            *each.metrics);
    }

    /// Keeps a copy of the store. Only the latest few are kept.
    void copy_store() {
        m_copies.push_back(platform.store().copy_table());
        if (m_copies.size() > max_copies) {
            m_copies.erase(m_copies.begin());
        }
    }
    /// Restores the store from the copy that is `age` copies older than the latest one. The later
    /// copies are discarded.
    void restore_store(std::size_t age = 0, restore_time when = restore_time::at_once) {
        const auto restore = [this, age] {
            m_copies.resize(m_copies.size() - std::min(age, m_copies.size() - 1));
            platform.store().restore_table(m_copies.back());
        };
        switch (when) {
        case restore_time::at_once:
            restore();
            break;
        case restore_time::before_next_transaction:
            platform.before_transact = [this, restore] {
                restore();
                platform.before_transact = nullptr;
            };
            break;
        case restore_time::after_next_transaction:
            platform.after_transact = [this, restore] {
                restore();
                platform.after_transact = nullptr;
            };
            break;
        }
    }
    /// Writes rows other than the lease's, so that the store gives out `count` versions.
    void use_versions(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            static_cast<void>(platform.store().transact(
                {"v" + std::to_string(++m_write_number), {}, {{"other", {}}}, {}}));
        }
    }

    void maintain(std::size_t index, bool wanted = true) {
        auto& each = m_members[index];
        const auto acquired = acquisitions(index);
        static_cast<void>(state::collect([&] { return at(index).maintain(deployment, wanted); }));
        if (acquisitions(index) == acquired) {
            return;
        }
        // A member that learns of its acquisition late may already have a successor.
        const auto number = each.row.fencing_number;
        const bool is_owner = phase(index) == state::lease_phase::waiting ||
                              phase(index) == state::lease_phase::holding;
        if (!m_acquired.insert(number).second || (is_owner && number != *m_acquired.rbegin())) {
            violations.push_back("a fencing number is not above all that were given out");
        }
    }
    /// Returns how many times a member, since its start, has learned that it acquired the lease.
    [[nodiscard]] std::uint64_t acquisitions(std::size_t index) const {
        return m_members[index].metrics->counter_of("savoryrelay_lease_acquired_total").value();
    }
    /// Returns the highest fencing number of an acquisition that a member has learned of.
    [[nodiscard]] std::uint64_t highest_acquired() const {
        return m_acquired.empty() ? 0 : *m_acquired.rbegin();
    }
    /// Returns the number of members that hold the lease and records a violation if several do.
    std::size_t holders() {
        std::size_t count = 0;
        for (std::size_t i = 0; i < member_count; ++i) {
            count += phase(i) == state::lease_phase::holding ? 1 : 0;
        }
        if (count > 1) {
            violations.push_back("several members hold the lease");
        }
        return count;
    }
    state::lease_phase phase(std::size_t index) {
        return at(index).phase(deployment, clock(index));
    }

    /// Runs the check before an order. Returns whether the order may be sent.
    bool check_order(std::size_t index) {
        const auto ticket =
            state::collect([&] { return at(index).begin_order(deployment, clock(index)); });
        if (ticket) {
            m_members[index].orders.push_back({ticket.value(), {}, false});
        }
        return ticket.has_value();
    }
    /// Sends the orders that were checked. The member may have paused since the check.
    void send_orders(std::size_t index) {
        for (auto& each : m_members[index].orders) {
            if (!each.sent) {
                each.sent = true;
                each.sent_at = now;
                m_network.push_back({each.ticket.order_key, each.ticket.fencing_number, now});
            }
        }
    }
    /// Delivers the order at `position`. The engine applies it unless it has timed out or its
    /// fencing number is rejected.
    void deliver(std::size_t position) {
        const auto order = m_network[position];
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
        m_received.insert(order.order_key);
        const bool timed_out = now > order.sent_at + settings.order_timeout;
        if (timed_out || (m_enforces_fencing && order.fencing_number < m_highest_applied)) {
            return;
        }
        if (order.fencing_number < m_highest_applied) {
            violations.push_back("the engine applied an order of an earlier holder");
        }
        m_highest_applied = std::max(m_highest_applied, order.fencing_number);
    }
    [[nodiscard]] std::size_t orders_in_network() const { return m_network.size(); }
    /// Ends all orders of a member: with a reply if the engine received the order, otherwise with a
    /// broken connection while the order is still in the network.
    void end_orders(std::size_t index) {
        auto& orders = m_members[index].orders;
        for (const auto& each : orders) {
            const bool replied = m_received.contains(each.ticket.order_key);
            const auto end =
                replied ? coordination::order_end::replied : coordination::order_end::no_reply;
            const auto accepted =
                state::collect([&] { return at(index).end_order(each.ticket, end, clock(index)); });
            if (accepted && replied && each.ticket.fencing_number < m_highest_applied) {
                violations.push_back("a reply was accepted after a successor's order");
            }
        }
        orders.clear();
    }

    /// Prepares a holder's write without sending it, because the member may pause before
    /// `send_write`.
    void prepare_write(std::size_t index) {
        state::table_transaction write;
        write.write_key = "w" + std::to_string(++m_write_number);
        auto prepared = state::collect(
            [&] { return at(index).with_lease_check(deployment, write, clock(index)); });
        if (prepared) {
            auto& transaction = prepared.value();
            const auto number = m_members[index].row.fencing_number;
            transaction.puts.push_back({"group/g", std::to_string(number)});
            if (!check_lease_in_writes) {
                transaction.checks.clear();
            }
            m_members[index].write = transaction;
        }
    }
    void send_write(std::size_t index) {
        auto& write = m_members[index].write;
        if (!write) {
            return;
        }
        const auto replaced = platform.store().read_row("group/g");
        const auto outcome = state::collect([&] { return platform.store().transact(*write); });
        if (outcome.value().committed && replaced->version != 0 &&
            std::stoull(write->puts.back().value) < std::stoull(replaced->value)) {
            violations.push_back("a write of an earlier holder was committed");
        }
        write.reset();
    }

private:
    static constexpr std::size_t max_copies = 4;

    struct checked_order {
        coordination::order_ticket ticket;
        state::milliseconds sent_at{0};
        bool sent = false;
    };
    struct message {
        std::string order_key;
        std::uint64_t fencing_number = 0;
        state::milliseconds sent_at{0};
    };
    struct process {
        std::uint64_t incarnation = 0;
        state::lease_row row; ///< of its latest write
        std::unique_ptr<state::metrics> metrics;
        std::unique_ptr<coordination::lease_coordinator> coordinator;
        std::vector<checked_order> orders;
        std::optional<state::table_transaction> write;
    };

    state::platform_hooks hooks() {
        auto hooks = platform.hooks();
        hooks.transact = [this, inner = hooks.transact](const auto& transaction) {
            now += store_delay;
            auto outcome = inner(transaction);
            now += store_delay;
            if (outcome && hides_era) {
                outcome->era = 0;
            }
            return outcome;
        };
        hooks.read_write_result = [this, inner = hooks.read_write_result](const auto& key) {
            auto stored = inner(key);
            if (stored && *stored && hides_era) {
                (*stored)->era = 0;
            }
            return stored;
        };
        hooks.read_row = [this, inner = hooks.read_row](const auto& key) {
            auto row = inner(key);
            if (row && hides_era) {
                row->era = 0;
            }
            return row;
        };
        return hooks;
    }
    state::lease_codec codec(std::size_t index) {
        return {.encode =
                    [this, index](const state::lease_row& row) {
                        m_members[index].row = row;
                        auto text = "lease " + std::to_string(m_rows.size());
                        m_rows.emplace(text, row);
                        return text;
                    },
                .decode = [this](const std::string& text) -> state::result<state::lease_row> {
                    return m_rows.at(text);
                }};
    }

    const bool m_enforces_fencing;
    const coordination::lease_rules m_rules;
    std::map<std::string, state::lease_row> m_rows;
    std::vector<message> m_network;
    std::set<std::string> m_received;    ///< keys of orders that reached the engine
    std::uint64_t m_highest_applied = 0; ///< highest fencing number that the engine applied
    std::set<std::uint64_t> m_acquired;  ///< fencing numbers of acquisitions
    std::uint64_t m_write_number = 0;
    std::vector<state::table_copy> m_copies; ///< in the order in which they were made
    std::array<process, member_count> m_members;
};

} // namespace savoryrelay::tests
