// Ownership of deployments by leases in the platform's table, with fencing
// numbers for the orders that the holder sends to engines.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/lease/lease_row.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/table_row.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::coordination {

/// Settings of leases. All members must have the same values, since a
/// successor's wait covers the orders of its predecessor.
struct lease_settings {
    state::milliseconds duration{10'000};
    state::milliseconds renew_interval{3'000};
    state::milliseconds order_timeout{2'000}; ///< after which no reply of an order is awaited
    state::milliseconds margin{500};          ///< drift between two clocks over one duration
};

/// Fails with `invalid_settings` when a holder could never send an order or
/// would lose the lease after one lost renewal.
[[nodiscard]] state::result<void> check_settings(const lease_settings& settings);

/// The rules that keep two members from holding a lease at once. Mutation
/// tests replace them.
struct lease_rules {
    /// Whether an order may be sent at `now` by a holder whose term ends at `valid_until`.
    std::function<bool(state::time_point now, state::time_point valid_until,
                       const lease_settings& settings)>
        may_send;
    /// Whether the reply of an order may be accepted at `now`.
    std::function<bool(state::time_point now, state::time_point valid_until)> may_accept;
    /// Whether a lease whose row last changed at `seen_at`, by the observer's
    /// clock, may be taken over at `now`.
    std::function<bool(state::time_point now, state::time_point seen_at,
                       state::milliseconds duration, const lease_settings& settings)>
        is_expired;
    /// When a successor may send its first order.
    std::function<state::time_point(state::time_point seen_at, state::milliseconds duration,
                                    const lease_settings& settings)>
        first_order_at;
};

/// The rules of the design page.
[[nodiscard]] lease_rules standard_lease_rules();

/// Permission to send one order.
struct order_ticket {
    state::deployment_id deployment;
    std::uint64_t fencing_number = 0;
    std::string order_key; ///< unique to this order
};

/// How an order ended for its sender.
enum class order_end {
    replied,  ///< the engine answered
    no_reply, ///< time-out or broken connection: the engine may still apply the order
};

/// The leases that one member takes part in. One thread calls `maintain`; any
/// thread may ask for and return order tickets.
class lease_coordinator {
public:
    using clock_hook = std::function<state::time_point()>;

    struct dependencies {
        state::platform_hooks platform;
        state::lease_codec codec;
        lease_rules rules = standard_lease_rules();
        /// Read by `maintain` after each call to the store, because that call
        /// may block for longer than a lease lasts.
        clock_hook clock;
    };

    lease_coordinator(lease_settings settings, state::member_id self, std::uint64_t incarnation,
                      dependencies hooks, state::metrics& metrics);

    /// One round for a deployment: settles a lost reply, reads the row, and
    /// acquires, renews or releases as `wanted` and the row demand. Blocks on
    /// the store and fails as it does.
    state::result<void> maintain(const state::deployment_id& deployment, bool wanted);

    /// The clock check before an order. Fails with `lease_not_held`.
    [[nodiscard]] state::result<order_ticket> begin_order(const state::deployment_id& deployment,
                                                          state::time_point now);

    /// The clock check after an order. Fails with `lease_not_held` when a
    /// reply must not be accepted. Must be called once for each ticket.
    state::result<void> end_order(const order_ticket& ticket, order_end end, state::time_point now);

    /// Adds the condition on the lease row to a holder's write. Fails with
    /// `lease_not_held`, also while the row's version is not known. To be
    /// called and sent by the thread that calls `maintain`.
    [[nodiscard]] state::result<state::table_transaction>
    as_holder(const state::deployment_id& deployment, state::table_transaction transaction,
              state::time_point now);

    /// The phase at `now`.
    [[nodiscard]] state::lease_phase phase(const state::deployment_id& deployment,
                                           state::time_point now);

private:
    enum class write_kind { acquire, renew, release };
    /// A conditional write of the lease row.
    struct lease_write {
        write_kind kind = write_kind::acquire;
        state::table_transaction transaction;
        state::lease_row row;
        state::time_point sent_at{}; ///< the term begins here, before the sending
        state::time_point first_order_at{};
    };
    /// Invariant: `valid_until` and `first_order_at` have a meaning only in the
    /// phases `waiting`, `holding` and `lapsed`.
    struct lease_view {
        state::lease_phase phase = state::lease_phase::observing;
        state::lease_row row;
        std::uint64_t version = 0;   ///< of the row last seen; 0 when absent
        state::time_point seen_at{}; ///< when this member first saw that version
        state::time_point valid_until{};
        state::time_point first_order_at{};
        state::time_point next_renewal{};
        std::uint32_t orders_in_flight = 0;
        state::time_point quiet_at{}; ///< from here on no order without a reply can be applied
        std::optional<lease_write> pending; ///< sent, reply lost
    };

    state::result<void> settle_pending(const state::deployment_id& deployment);
    state::result<void> observe(const state::deployment_id& deployment);
    state::result<void> send(const state::deployment_id& deployment, lease_write write);
    void conclude(const state::deployment_id& deployment, const lease_write& write,
                  const state::transaction_result& outcome);
    void not_written(const state::deployment_id& deployment);
    /// The write that the view demands at `now`, or nothing.
    [[nodiscard]] std::optional<lease_write> plan(const state::deployment_id& deployment,
                                                  const lease_view& view, bool wanted,
                                                  state::time_point now);
    /// Enters the phase of a planned write. False when an order came between.
    bool start(const state::deployment_id& deployment, write_kind kind);
    [[nodiscard]] lease_write make_write(const state::deployment_id& deployment,
                                         const lease_view& view, write_kind kind,
                                         state::lease_row row, state::time_point now);
    /// Applies the passing of time and returns the view.
    lease_view refresh(const state::deployment_id& deployment, state::time_point now);
    static void set_phase(lease_view& view, state::lease_phase next);
    [[nodiscard]] static bool owns_row(state::lease_phase phase);

    const lease_settings m_settings;
    const state::member_id m_self;
    const std::uint64_t m_incarnation;
    const dependencies m_hooks;
    state::counter& m_acquired;
    state::counter& m_renewed;
    state::counter& m_lost;
    state::counter& m_lost_replies;
    state::counter& m_refused_orders;
    std::atomic<std::uint64_t> m_sequence{0}; // of write keys and order keys
    state::sharded_map<state::deployment_id, lease_view> m_leases;
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::order_end> {
    using e = savoryrelay::coordination::order_end;
    static constexpr std::array rows{
        enum_name<e>{e::replied, "replied"},
        enum_name<e>{e::no_reply, "no_reply"},
    };
};
