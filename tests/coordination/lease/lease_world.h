// Several members with clocks of their own, one table and one engine, driven
// step by step, with an oracle for orders, replies and holders' writes.
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

/// `violations` stays empty while there is at most one effective holder.
class lease_world {
public:
    static constexpr std::size_t member_count = 3;

    /// Whether the engine rejects fencing numbers lower than the highest it saw.
    explicit lease_world(bool engine_enforces,
                         coordination::lease_rules rules = coordination::standard_lease_rules())
        : m_engine_enforces(engine_enforces), m_rules(std::move(rules)) {
        for (std::size_t i = 0; i < member_count; ++i) {
            restart(i);
        }
    }

    faulty_platform platform;
    state::milliseconds now{0};         ///< true time since the start
    state::milliseconds store_delay{0}; ///< time that each transaction takes
    bool check_lease_in_writes = true;  ///< false: the naive holder's write
    std::vector<std::string> violations;
    const coordination::lease_settings settings;
    const state::deployment_id deployment{"d"};

    coordination::lease_coordinator& at(std::size_t index) { return *m_members[index].coordinator; }
    /// The member's own clock: the members started at different times.
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

    /// The clock check before an order. True when the order may be sent.
    bool check_order(std::size_t index) {
        const auto ticket =
            state::collect([&] { return at(index).begin_order(deployment, clock(index)); });
        if (ticket) {
            m_members[index].orders.push_back({ticket.value(), {}, false});
        }
        return ticket.has_value();
    }
    /// Sends the orders that were checked; a pause may lie between.
    void send_orders(std::size_t index) {
        for (auto& each : m_members[index].orders) {
            if (!each.sent) {
                each.sent = true;
                each.sent_at = now;
                m_network.push_back({each.ticket.order_key, each.ticket.fencing_number, now});
            }
        }
    }
    /// The engine receives the order at `position`, unless its time has passed.
    void deliver(std::size_t position) {
        const auto order = m_network[position];
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(position));
        m_received.insert(order.order_key);
        const bool timed_out = now > order.sent_at + settings.order_timeout;
        if (timed_out || (m_engine_enforces && order.fencing_number < m_applied)) {
            return;
        }
        if (order.fencing_number < m_applied) {
            violations.push_back("engine applied an order of an earlier holder");
        }
        m_applied = std::max(m_applied, order.fencing_number);
    }
    [[nodiscard]] std::size_t in_network() const { return m_network.size(); }
    /// Ends all orders: by a reply where the engine received the order, else
    /// by a broken connection, with the order still on its way.
    void end_orders(std::size_t index) {
        auto& orders = m_members[index].orders;
        for (const auto& each : orders) {
            const bool replied = m_received.contains(each.ticket.order_key);
            const auto end =
                replied ? coordination::order_end::replied : coordination::order_end::no_reply;
            const auto accepted =
                state::collect([&] { return at(index).end_order(each.ticket, end, clock(index)); });
            if (accepted && replied && each.ticket.fencing_number < m_applied) {
                violations.push_back("reply accepted after a successor's order");
            }
        }
        orders.clear();
    }

    /// A holder's write in two steps, since a pause may lie between.
    void prepare_write(std::size_t index) {
        state::table_transaction write;
        write.write_key = "w" + std::to_string(++m_writes);
        auto prepared =
            state::collect([&] { return at(index).as_holder(deployment, write, clock(index)); });
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
            if (number < m_written) {
                violations.push_back("write of an earlier holder");
            }
            m_written = std::max(m_written, number);
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

    const bool m_engine_enforces;
    const coordination::lease_rules m_rules;
    std::map<std::string, state::lease_row> m_rows;
    std::vector<message> m_network;
    std::set<std::string> m_received; ///< keys of orders that reached the engine
    std::uint64_t m_applied = 0;      ///< highest fencing number that the engine applied
    std::uint64_t m_written = 0;      ///< highest fencing number of a holder's write
    std::uint64_t m_writes = 0;
    std::array<process, member_count> m_members;
};

} // namespace savoryrelay::tests
