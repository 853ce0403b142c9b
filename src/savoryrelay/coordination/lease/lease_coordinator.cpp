// Acquisition, renewal and release of leases, and the checks of orders.
#include "savoryrelay/coordination/lease/lease_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;
using state::lease_phase;

// A holder must survive one lost renewal, so two must fit into its term.
constexpr int renewals_per_term = 2;

} // namespace

state::result<void> check_settings(const lease_settings& settings) {
    const state::milliseconds none{0};
    if (settings.renew_interval <= none || settings.order_timeout <= none ||
        settings.margin <= none) {
        return state::fail(failure_kind::invalid_settings, "lease intervals must be at least 1 ms");
    }
    const auto needed =
        settings.renew_interval * renewals_per_term + settings.order_timeout + settings.margin;
    if (settings.duration < needed) {
        return state::fail(failure_kind::invalid_settings,
                           "the lease duration must be at least 2 renewal intervals, the order "
                           "timeout and the margin: " +
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

void lease_coordinator::set_phase(lease_view& view, lease_phase next) {
    if (view.phase != next) {
        assert(state::is_allowed(view.phase, next));
        view.phase = next;
    }
}

lease_coordinator::lease_view lease_coordinator::refresh(const state::deployment_id& deployment,
                                                         state::time_point now) {
    // The rule is a hook, so it is asked outside the shard's lock.
    const auto valid_until =
        m_leases.update(deployment, [](const lease_view& view) { return view.valid_until; });
    const bool valid = m_hooks.rules.may_accept(now, valid_until);
    return m_leases.update(deployment, [&](lease_view& view) {
        const bool current =
            view.phase == lease_phase::waiting || view.phase == lease_phase::holding;
        if (current && !valid && view.valid_until == valid_until) {
            set_phase(view, lease_phase::lapsed);
        } else if (view.phase == lease_phase::waiting && now >= view.first_order_at) {
            set_phase(view, lease_phase::holding);
        }
        return view;
    });
}

lease_phase lease_coordinator::phase(const state::deployment_id& deployment,
                                     state::time_point now) {
    return refresh(deployment, now).phase;
}

state::result<void> lease_coordinator::maintain(const state::deployment_id& deployment,
                                                bool wanted) {
    BOOST_LEAF_CHECK(settle_pending(deployment));

    // A holder needs no read: its renewal is conditional on the row.
    const bool owner =
        m_leases.update(deployment, [](const lease_view& view) { return owns_row(view.phase); });
    if (!owner) {
        BOOST_LEAF_CHECK(observe(deployment));
    }
    const auto now = m_hooks.clock();
    auto write = plan(deployment, refresh(deployment, now), wanted, now);
    if (!write || !start(deployment, write->kind)) {
        return {};
    }
    return send(deployment, std::move(*write));
}

bool lease_coordinator::start(const state::deployment_id& deployment, write_kind kind) {
    return m_leases.update(deployment, [&](lease_view& view) {
        if (kind == write_kind::release && view.orders_in_flight > 0) {
            return false;
        }
        if (kind != write_kind::renew) {
            set_phase(view, kind == write_kind::acquire ? lease_phase::acquiring
                                                        : lease_phase::releasing);
        }
        return true;
    });
}

state::result<void> lease_coordinator::settle_pending(const state::deployment_id& deployment) {
    const auto pending =
        m_leases.update(deployment, [](const lease_view& view) { return view.pending; });
    if (!pending) {
        return {};
    }
    BOOST_LEAF_AUTO(kept, m_hooks.platform.read_write_result(pending->transaction.write_key));
    if (!kept) {
        // The first message may still arrive. Sending it again under the same
        // write key applies it at most once and gives its result.
        BOOST_LEAF_AUTO(repeated, m_hooks.platform.transact(pending->transaction));
        kept = repeated;
    }
    conclude(deployment, *pending, *kept);
    return {};
}

state::result<void> lease_coordinator::observe(const state::deployment_id& deployment) {
    BOOST_LEAF_AUTO(read, m_hooks.platform.read_row(state::lease_key(deployment)));
    state::lease_row row;
    if (read.version != 0) {
        BOOST_LEAF_ASSIGN(row, m_hooks.codec.decode(read.value));
    }
    // The clock is read after the row, so that expiry is never judged early.
    const auto now = m_hooks.clock();
    m_leases.update(deployment, [&](lease_view& view) {
        if (view.version != read.version) {
            view.version = read.version;
            view.row = row;
            view.seen_at = now;
        }
    });
    return {};
}

lease_coordinator::lease_write lease_coordinator::make_write(const state::deployment_id& deployment,
                                                             const lease_view& view,
                                                             write_kind kind, state::lease_row row,
                                                             state::time_point now) {
    lease_write write;
    write.kind = kind;
    write.transaction.write_key = "lease/" + m_self.value() + "/" + std::to_string(m_incarnation) +
                                  "/" + std::to_string(++m_sequence);
    const auto key = state::lease_key(deployment);
    write.transaction.checks.push_back({key, view.version});
    write.transaction.puts.push_back({key, m_hooks.codec.encode(row)});
    write.row = std::move(row);
    write.sent_at = now;
    write.first_order_at = view.first_order_at;
    return write;
}

std::optional<lease_coordinator::lease_write>
lease_coordinator::plan(const state::deployment_id& deployment, const lease_view& view, bool wanted,
                        state::time_point now) {
    if (owns_row(view.phase)) {
        if (!wanted) {
            // A successor of a released lease does not wait, so no order may be on its way.
            if (view.orders_in_flight > 0 || now < view.quiet_at) {
                return std::nullopt;
            }
            auto row = view.row;
            row.released = true;
            return make_write(deployment, view, write_kind::release, row, now);
        }
        if (view.phase != lease_phase::lapsed && now < view.next_renewal) {
            return std::nullopt;
        }
        auto row = view.row;
        row.duration = m_settings.duration;
        return make_write(deployment, view, write_kind::renew, row, now);
    }

    const bool never_held = view.version == 0;
    const bool free = never_held || view.row.released;
    if (!wanted || view.phase != lease_phase::observing ||
        (!free && !m_hooks.rules.is_expired(now, view.seen_at, view.row.duration, m_settings))) {
        return std::nullopt;
    }
    const state::lease_row row{m_self, m_incarnation, view.row.fencing_number + 1,
                               m_settings.duration, false};
    auto write = make_write(deployment, view, write_kind::acquire, row, now);
    write.first_order_at =
        free ? now : m_hooks.rules.first_order_at(view.seen_at, view.row.duration, m_settings);
    return write;
}

state::result<void> lease_coordinator::send(const state::deployment_id& deployment,
                                            lease_write write) {
    auto attempted = state::collect([&] { return m_hooks.platform.transact(write.transaction); });
    if (attempted) {
        conclude(deployment, write, attempted.value());
        return {};
    }
    if (attempted.error().kind == failure_kind::store_unavailable) {
        not_written(deployment);
    } else {
        m_lost_replies.add();
        m_leases.update(deployment, [&](lease_view& view) { view.pending = std::move(write); });
    }
    return state::fail(attempted.error());
}

void lease_coordinator::not_written(const state::deployment_id& deployment) {
    m_leases.update(deployment, [](lease_view& view) {
        if (view.phase == lease_phase::acquiring) {
            set_phase(view, lease_phase::observing);
        } else if (view.phase == lease_phase::releasing) {
            // The row is still this member's; it is released or renewed later.
            set_phase(view, lease_phase::lapsed);
        }
    });
}

void lease_coordinator::conclude(const state::deployment_id& deployment, const lease_write& write,
                                 const state::transaction_result& outcome) {
    const auto now = m_hooks.clock();
    m_leases.update(deployment, [&](lease_view& view) {
        view.pending.reset();
        if (!outcome.committed) {
            // Another member changed the row. What is known of it is stale.
            m_lost.add(write.kind == write_kind::acquire ? 0 : 1);
            set_phase(view, lease_phase::observing);
            return;
        }
        view.row = write.row;
        view.version = outcome.version;
        view.seen_at = now;
        if (write.kind == write_kind::release) {
            set_phase(view, lease_phase::observing);
            return;
        }
        (write.kind == write_kind::acquire ? m_acquired : m_renewed).add();
        view.valid_until = write.sent_at + write.row.duration;
        view.first_order_at = write.first_order_at;
        view.next_renewal = write.sent_at + m_settings.renew_interval;
        if (view.phase != lease_phase::holding) {
            set_phase(view,
                      now >= view.first_order_at ? lease_phase::holding : lease_phase::waiting);
        }
    });
    refresh(deployment, now);
}

state::result<order_ticket> lease_coordinator::begin_order(const state::deployment_id& deployment,
                                                           state::time_point now) {
    const auto seen = refresh(deployment, now);
    const bool may_send = m_hooks.rules.may_send(now, seen.valid_until, m_settings);
    std::optional<std::uint64_t> fencing_number;
    m_leases.update(deployment, [&](lease_view& view) {
        // A renewal since only prolongs the term; a new holder changes the number.
        if (may_send && view.phase == lease_phase::holding &&
            view.row.fencing_number == seen.row.fencing_number) {
            fencing_number = view.row.fencing_number;
            ++view.orders_in_flight;
        }
    });
    if (!fencing_number) {
        m_refused_orders.add();
        return state::fail(failure_kind::lease_not_held, "no order may be sent for deployment '" +
                                                             deployment.value() +
                                                             "' by this member now");
    }
    return order_ticket{deployment, *fencing_number,
                        m_self.value() + "/" + std::to_string(m_incarnation) + "/" +
                            std::to_string(++m_sequence)};
}

state::result<void> lease_coordinator::end_order(const order_ticket& ticket, order_end end,
                                                 state::time_point now) {
    refresh(ticket.deployment, now);
    const bool accepted = m_leases.update(ticket.deployment, [&](lease_view& view) {
        view.orders_in_flight -= view.orders_in_flight > 0 ? 1 : 0;
        if (end == order_end::no_reply) {
            view.quiet_at =
                std::max(view.quiet_at, now + m_settings.order_timeout + m_settings.margin);
        }
        return view.phase == lease_phase::holding &&
               view.row.fencing_number == ticket.fencing_number;
    });
    if (!accepted) {
        m_refused_orders.add();
        return state::fail(failure_kind::lease_not_held, "the reply to order '" + ticket.order_key +
                                                             "' came after the lease ended");
    }
    return {};
}

state::result<state::table_transaction>
lease_coordinator::as_holder(const state::deployment_id& deployment,
                             state::table_transaction transaction, state::time_point now) {
    const auto view = refresh(deployment, now);
    if (view.phase != lease_phase::holding || view.pending) {
        return state::fail(failure_kind::lease_not_held,
                           "deployment '" + deployment.value() +
                               "' is not held, or its renewal is not decided");
    }
    transaction.checks.push_back({state::lease_key(deployment), view.version});
    return transaction;
}

} // namespace savoryrelay::coordination
