// Acquisition, renewal and release of leases, and the checks before and after an order.
#include "savoryrelay/coordination/lease/lease_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;
using state::lease_phase;

// A holder must keep its lease when one renewal is lost, so two renewal intervals must fit into the
// lease duration.
constexpr int renewals_per_duration = 2;

// Limits the rows of a transaction. No write is delayed by this many restores.
constexpr std::uint64_t max_closed_eras = 32;

} // namespace

state::result<void> check_settings(const lease_settings& settings) {
    const state::milliseconds zero{0};
    if (settings.renew_interval <= zero || settings.order_timeout <= zero ||
        settings.margin <= zero) {
        return state::fail(failure_kind::invalid_settings, "lease intervals must be at least 1 ms");
    }
    const auto needed =
        settings.renew_interval * renewals_per_duration + settings.order_timeout + settings.margin;
    if (settings.duration < needed) {
        return state::fail(failure_kind::invalid_settings,
                           "the lease duration must be at least the sum of 2 renewal intervals, "
                           "the order timeout and the margin: " +
                               std::to_string(needed.count()) + " ms");
    }
    return {};
}

lease_rules standard_lease_rules() {
    return {
        .may_send =
            [](state::time_point now, state::time_point valid_until, const lease_settings& s) {
                return now + s.order_timeout + s.margin <= valid_until;
            },
        .may_accept = [](state::time_point now,
                         state::time_point valid_until) { return now <= valid_until; },
        .is_expired = [](state::time_point now, state::time_point seen_at,
                         state::milliseconds duration,
                         const lease_settings& s) { return now >= seen_at + duration + s.margin; },
        .first_order_at =
            [](state::time_point seen_at, state::milliseconds duration, const lease_settings& s) {
                return seen_at + duration + s.order_timeout + s.margin;
            },
    };
}

lease_coordinator::lease_coordinator(lease_settings settings, state::member_id self,
                                     std::uint64_t incarnation, dependencies hooks,
                                     state::metrics& metrics)
    : m_settings(settings), m_self(std::move(self)), m_incarnation(incarnation),
      m_hooks(std::move(hooks)), m_acquired(metrics.counter_of("savoryrelay_lease_acquired_total")),
      m_renewed(metrics.counter_of("savoryrelay_lease_renewed_total")),
      m_lost(metrics.counter_of("savoryrelay_lease_lost_total")),
      m_lost_replies(metrics.counter_of("savoryrelay_lease_lost_replies_total")),
      m_refused_orders(metrics.counter_of("savoryrelay_lease_refused_orders_total")) {}

bool lease_coordinator::owns_row(lease_phase phase) {
    return phase == lease_phase::waiting || phase == lease_phase::holding ||
           phase == lease_phase::lapsed;
}

void lease_coordinator::set_phase(lease_state& lease, lease_phase next) {
    if (lease.phase != next) {
        assert(state::is_allowed(lease.phase, next));
        lease.phase = next;
    }
}

lease_coordinator::lease_state
lease_coordinator::update_phase(const state::deployment_id& deployment, state::time_point now) {
    // `may_accept` is a hook, so it is called without the shard's lock.
    const auto valid_until =
        m_leases.update(deployment, [](const lease_state& lease) { return lease.valid_until; });
    const bool valid = m_hooks.rules.may_accept(now, valid_until);
    return m_leases.update(deployment, [&](lease_state& lease) {
        const bool may_expire =
            lease.phase == lease_phase::waiting || lease.phase == lease_phase::holding;
        if (may_expire && !valid && lease.valid_until == valid_until) {
            set_phase(lease, lease_phase::lapsed);
        } else if (lease.phase == lease_phase::waiting && now >= lease.first_order_at) {
            set_phase(lease, lease_phase::holding);
        }
        return lease;
    });
}

lease_phase lease_coordinator::phase(const state::deployment_id& deployment,
                                     state::time_point now) {
    return update_phase(deployment, now).phase;
}

state::result<void> lease_coordinator::maintain(const state::deployment_id& deployment,
                                                bool wanted) {
    BOOST_LEAF_CHECK(resolve_pending(deployment));

    // A holder need not read the row, because its renewal is conditional on the row's version.
    const bool owner =
        m_leases.update(deployment, [](const lease_state& lease) { return owns_row(lease.phase); });
    if (!owner) {
        BOOST_LEAF_CHECK(read_lease_row(deployment));
    }
    const auto now = m_hooks.clock();
    auto write = plan_write(deployment, update_phase(deployment, now), wanted, now);
    if (!write || !begin_write(deployment, write->kind)) {
        return {};
    }
    return send(deployment, std::move(*write));
}

bool lease_coordinator::begin_write(const state::deployment_id& deployment, write_kind kind) {
    return m_leases.update(deployment, [&](lease_state& lease) {
        if (kind == write_kind::release && lease.orders_in_flight > 0) {
            return false;
        }
        if (kind != write_kind::renew) {
            set_phase(lease, kind == write_kind::acquire ? lease_phase::acquiring
                                                         : lease_phase::releasing);
        }
        return true;
    });
}

state::result<void> lease_coordinator::resolve_pending(const state::deployment_id& deployment) {
    const auto [pending, era] = m_leases.update(
        deployment, [](const lease_state& lease) { return std::pair(lease.pending, lease.era); });
    if (!pending) {
        return {};
    }
    BOOST_LEAF_AUTO(stored, m_hooks.platform.read_write_result(pending->transaction.write_key));
    if (!stored) {
        // A restored store may have lost the result, and must not receive a write that depends on
        // a version of an earlier era.
        BOOST_LEAF_AUTO(read, m_hooks.platform.read_row(state::lease_key(deployment)));
        if (read.era != era) {
            stored.emplace().era = read.era;
        }
    }
    if (!stored) {
        // The first request may still reach the store. Sending it again with the same write key
        // applies it at most once and returns its result.
        BOOST_LEAF_AUTO(repeated, m_hooks.platform.transact(pending->transaction));
        stored = repeated;
    }
    apply_result(deployment, *pending, *stored);
    return {};
}

state::result<void> lease_coordinator::read_lease_row(const state::deployment_id& deployment) {
    BOOST_LEAF_AUTO(read, m_hooks.platform.read_row(state::lease_key(deployment)));
    state::lease_row row;
    if (read.version != 0) {
        BOOST_LEAF_ASSIGN(row, m_hooks.codec.decode(read.value));
    }
    // The clock is read after the row, so that the lease is not considered expired too early.
    const auto now = m_hooks.clock();
    m_leases.update(deployment, [&](lease_state& lease) {
        if (lease.era != read.era) {
            enter_era(lease, read.era, now);
        }
        lease.has_read = true;
        if (lease.version != read.version) {
            lease.version = read.version;
            lease.row = row;
            lease.seen_at = now;
        }
    });
    return {};
}

void lease_coordinator::enter_era(lease_state& lease, std::uint64_t era,
                                  state::time_point now) const {
    lease.may_have_lost_row = lease.has_read || !m_hooks.is_first_start;
    lease.era = era;
    lease.row = {};
    lease.version = 0;
    lease.seen_at = now;
    lease.pending.reset();
}

lease_coordinator::lease_write lease_coordinator::make_write(const state::deployment_id& deployment,
                                                             const lease_state& lease,
                                                             write_kind kind, state::lease_row row,
                                                             state::time_point now) {
    lease_write write;
    write.kind = kind;
    write.transaction.write_key = "lease/" + m_self.value() + "/" + std::to_string(m_incarnation) +
                                  "/" + std::to_string(++m_sequence);
    const auto key = state::lease_key(deployment);
    write.transaction.checks.push_back({key, lease.version});
    write.transaction.checks.push_back({state::closed_era_key(deployment, lease.era), 0});
    write.transaction.puts.push_back({key, m_hooks.codec.encode(row)});
    write.row = std::move(row);
    write.sent_at = now;
    write.first_order_at = lease.first_order_at;
    return write;
}

std::optional<lease_coordinator::lease_write>
lease_coordinator::plan_write(const state::deployment_id& deployment, const lease_state& lease,
                              bool wanted, state::time_point now) {
    if (owns_row(lease.phase)) {
        if (!wanted) {
            // The successor of a released lease does not wait, so the lease is released only when
            // no order can still reach an engine.
            if (lease.orders_in_flight > 0 || now < lease.last_order_expires_at) {
                return std::nullopt;
            }
            auto row = lease.row;
            row.released = true;
            return make_write(deployment, lease, write_kind::release, row, now);
        }
        if (lease.phase != lease_phase::lapsed && now < lease.next_renewal) {
            return std::nullopt;
        }
        auto row = lease.row;
        row.duration = m_settings.duration;
        return make_write(deployment, lease, write_kind::renew, row, now);
    }

    const bool is_first_of_era = !state::is_of_era(lease.row, lease.era);
    const bool is_free =
        lease.version == 0 ? !lease.may_have_lost_row : lease.row.released && !is_first_of_era;
    // A row that the store has lost in a restore had this duration.
    const auto duration = std::max(lease.row.duration, m_settings.duration);
    if (!wanted || lease.phase != lease_phase::observing ||
        (!is_free && !m_hooks.rules.is_expired(now, lease.seen_at, duration, m_settings))) {
        return std::nullopt;
    }
    const state::lease_row row{m_self, m_incarnation,
                               state::next_fencing_number(lease.row, lease.era),
                               m_settings.duration, false};
    auto write = make_write(deployment, lease, write_kind::acquire, row, now);
    if (is_first_of_era) {
        close_earlier_eras(deployment, lease.era, write.transaction);
    }
    write.first_order_at =
        is_free ? now : m_hooks.rules.first_order_at(lease.seen_at, duration, m_settings);
    return write;
}

void lease_coordinator::close_earlier_eras(const state::deployment_id& deployment,
                                           std::uint64_t era,
                                           state::table_transaction& transaction) {
    for (auto closed = era - std::min(era, max_closed_eras); closed < era; ++closed) {
        transaction.puts.push_back({state::closed_era_key(deployment, closed), "closed"});
    }
}

state::result<void> lease_coordinator::send(const state::deployment_id& deployment,
                                            lease_write write) {
    auto attempted = state::collect([&] { return m_hooks.platform.transact(write.transaction); });
    if (attempted) {
        apply_result(deployment, write, attempted.value());
        return {};
    }
    if (attempted.error().kind == failure_kind::store_unavailable) {
        revert_phase(deployment);
    } else {
        m_lost_replies.add();
        m_leases.update(deployment, [&](lease_state& lease) { lease.pending = std::move(write); });
    }
    return state::fail(attempted.error());
}

void lease_coordinator::revert_phase(const state::deployment_id& deployment) {
    m_leases.update(deployment, [](lease_state& lease) {
        if (lease.phase == lease_phase::acquiring) {
            set_phase(lease, lease_phase::observing);
        } else if (lease.phase == lease_phase::releasing) {
            // The row still belongs to this member, which releases or renews it later.
            set_phase(lease, lease_phase::lapsed);
        }
    });
}

void lease_coordinator::apply_result(const state::deployment_id& deployment,
                                     const lease_write& write,
                                     const state::transaction_result& outcome) {
    const auto now = m_hooks.clock();
    m_leases.update(deployment, [&](lease_state& lease) {
        lease.pending.reset();
        if (outcome.era != lease.era) {
            // The row's version belongs to the earlier era. If it is the same by accident, the
            // write has replaced a row that this member has not read.
            m_lost.add(write.kind == write_kind::acquire ? 0 : 1);
            enter_era(lease, outcome.era, now);
            set_phase(lease, lease_phase::observing);
            return;
        }
        if (!outcome.committed) {
            // Another member changed the row, so the known version is outdated.
            m_lost.add(write.kind == write_kind::acquire ? 0 : 1);
            set_phase(lease, lease_phase::observing);
            return;
        }
        lease.row = write.row;
        lease.version = outcome.version;
        lease.seen_at = now;
        if (write.kind == write_kind::release) {
            set_phase(lease, lease_phase::observing);
            return;
        }
        (write.kind == write_kind::acquire ? m_acquired : m_renewed).add();
        lease.valid_until = write.sent_at + write.row.duration;
        lease.first_order_at = write.first_order_at;
        lease.next_renewal = write.sent_at + m_settings.renew_interval;
        if (lease.phase != lease_phase::holding) {
            set_phase(lease,
                      now >= lease.first_order_at ? lease_phase::holding : lease_phase::waiting);
        }
    });
    update_phase(deployment, now);
}

state::result<order_ticket> lease_coordinator::begin_order(const state::deployment_id& deployment,
                                                           state::time_point now) {
    const auto seen = update_phase(deployment, now);
    const bool may_send = m_hooks.rules.may_send(now, seen.valid_until, m_settings);
    std::optional<std::uint64_t> fencing_number;
    m_leases.update(deployment, [&](lease_state& lease) {
        // A renewal since the check only extends the lease. If it was lost and acquired again
        // in the meantime, the fencing number differs.
        if (may_send && lease.phase == lease_phase::holding &&
            lease.row.fencing_number == seen.row.fencing_number) {
            fencing_number = lease.row.fencing_number;
            ++lease.orders_in_flight;
        }
    });
    if (!fencing_number) {
        m_refused_orders.add();
        return state::fail(failure_kind::lease_not_held,
                           "this member does not hold the lease of deployment '" +
                               deployment.value() + "', or it expires too soon to send an order");
    }
    return order_ticket{deployment, *fencing_number,
                        m_self.value() + "/" + std::to_string(m_incarnation) + "/" +
                            std::to_string(++m_sequence)};
}

state::result<void> lease_coordinator::end_order(const order_ticket& ticket, order_end end,
                                                 state::time_point now) {
    update_phase(ticket.deployment, now);
    const bool accepted = m_leases.update(ticket.deployment, [&](lease_state& lease) {
        lease.orders_in_flight -= lease.orders_in_flight > 0 ? 1 : 0;
        if (end == order_end::no_reply) {
            lease.last_order_expires_at = std::max(
                lease.last_order_expires_at, now + m_settings.order_timeout + m_settings.margin);
        }
        return lease.phase == lease_phase::holding &&
               lease.row.fencing_number == ticket.fencing_number;
    });
    if (!accepted) {
        m_refused_orders.add();
        return state::fail(failure_kind::lease_not_held, "the reply to order '" + ticket.order_key +
                                                             "' arrived after the lease ended");
    }
    return {};
}

state::result<state::table_transaction>
lease_coordinator::with_lease_check(const state::deployment_id& deployment,
                                    state::table_transaction transaction, state::time_point now) {
    const auto lease = update_phase(deployment, now);
    if (lease.phase != lease_phase::holding || lease.pending) {
        return state::fail(failure_kind::lease_not_held,
                           "this member does not hold the lease of deployment '" +
                               deployment.value() +
                               "', or the result of its last renewal is unknown");
    }
    transaction.checks.push_back({state::lease_key(deployment), lease.version});
    transaction.checks.push_back({state::closed_era_key(deployment, lease.era), 0});
    return transaction;
}

} // namespace savoryrelay::coordination
