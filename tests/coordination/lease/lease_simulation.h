// Simulates several members with their own clocks, one table and one engine. Tests run it step by
// step; it records a violation when an order, a reply or a write of an earlier holder takes effect
// after one of a later holder.
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

    /// `enforces_fencing`: the engine rejects fencing numbers lower than the highest one it
    /// applied.
    explicit lease_simulation(bool enforces_fencing, coordination::lease_rules rules =
                                                         coordination::standard_lease_rules())
        : m_enforces_fencing(enforces_fencing), m_rules(std::move(rules)) {
        for (std::size_t i = 0; i < member_count; ++i) {
            restart(i);
        }
    }

    faulty_platform platform;
    state::milliseconds now{0};         ///< simulated time since the start
    state::milliseconds store_delay{0}; ///< delay before and after each transaction
    bool check_lease_in_writes = true;  ///< false: holders write without the check
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
            coordination::lease_coordinator::dependencies{hooks(), codec(), m_rules,
                                                          [this, index] { return clock(index); }},
            *each.metrics);
    }

    void maintain(std::size_t index, bool wanted = true) {
        static_cast<void>(state::collect([&] { return at(index).maintain(deployment, wanted); }));
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
            const auto row = platform.store().read_row(state::lease_key(deployment));
            transaction.puts.push_back({"group/g", row->value});
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
        const auto outcome = state::collect([&] { return platform.store().transact(*write); });
        if (outcome.value().committed) {
            const auto number = m_rows.at(write->puts.back().value).fencing_number;
            if (number < m_highest_written) {
                violations.push_back("a write of an earlier holder was committed");
            }
            m_highest_written = std::max(m_highest_written, number);
        }
        write.reset();
    }

private:
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
            return outcome;
        };
        return hooks;
    }
    state::lease_codec codec() {
        return {.encode =
                    [this](const state::lease_row& row) {
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
    std::uint64_t m_highest_written = 0; ///< highest fencing number of a holder's write
    std::uint64_t m_write_number = 0;
    std::array<process, member_count> m_members;
};

} // namespace savoryrelay::tests
