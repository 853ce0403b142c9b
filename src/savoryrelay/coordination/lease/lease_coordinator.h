// Assigns each deployment to one member by a lease in the platform's table. Fencing numbers protect
// engines from orders of an earlier holder.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/lease/lease_row.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/platform_hooks.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::coordination {

/// Settings of leases. All members must have the same values, because a successor calculates from
/// its own settings how long it waits for the orders of its predecessor.
struct lease_settings {
    state::milliseconds duration{10'000}; ///< validity of a lease after a renewal
    state::milliseconds renew_interval{3'000};
    state::milliseconds order_timeout{2'000}; ///< maximum wait for the reply to an order
    state::milliseconds margin{500};          ///< maximum drift between two clocks during a lease
};

/// Checks that a holder can send orders and keeps its lease when one renewal is lost. Fails with
/// `invalid_settings`.
[[nodiscard]] state::result<void> check_settings(const lease_settings& settings);

/// The rules that prevent two members from holding a lease at the same time. Mutation tests replace
/// them.
struct lease_rules {
    /// Returns whether a holder whose lease is valid until `valid_until` may send an order at
    /// `now`.
    std::function<bool(state::time_point now, state::time_point valid_until,
                       const lease_settings& settings)>
        may_send;
    /// Returns whether a holder may accept the reply to an order at `now`.
    std::function<bool(state::time_point now, state::time_point valid_until)> may_accept;
    /// Returns whether another member may take over a lease at `now`. `seen_at` is the time at
    /// which that member first saw the current row, by its own clock.
    std::function<bool(state::time_point now, state::time_point seen_at,
                       state::milliseconds duration, const lease_settings& settings)>
        is_expired;
    /// Returns the time from which a successor may send orders.
    std::function<state::time_point(state::time_point seen_at, state::milliseconds duration,
                                    const lease_settings& settings)>
        first_order_at;
};

/// Returns the standard rules.
[[nodiscard]] lease_rules standard_lease_rules();

/// Permission to send one order.
struct order_ticket {
    state::deployment_id deployment;
    std::uint64_t fencing_number = 0;
    std::string order_key; ///< unique to this order
};

/// How an order ended, as its sender saw it.
enum class order_end {
    replied,  ///< the engine answered
    no_reply, ///< timeout or broken connection; the engine may still apply the order
};

/// The leases that one member holds or tries to acquire. One thread calls `maintain`; any thread
/// may call `begin_order` and `end_order`.
class lease_coordinator {
public:
    using clock_hook = std::function<state::time_point()>;

    struct dependencies {
        state::platform_hooks platform;
        state::lease_codec codec;
        lease_rules rules = standard_lease_rules();
        /// Returns the current time. `maintain` calls it after each call to the store, because that
        /// call may block for longer than a lease lasts.
        clock_hook clock;
        /// The whole system starts for the first time, so no earlier process holds a lease.
        bool is_first_start = false;
    };

    lease_coordinator(lease_settings settings, state::member_id self, std::uint64_t incarnation,
                      dependencies hooks, state::metrics& metrics);

    /// Maintains the lease of a deployment: resolves a write whose reply was lost, reads the row,
    /// and acquires or renews the lease if `wanted`, or releases it otherwise. Blocks on the store
    /// and returns its failures.
    state::result<void> maintain(const state::deployment_id& deployment, bool wanted);

    /// Checks before an order that the lease lasts long enough and returns a ticket. Fails with
    /// `lease_not_held`.
    [[nodiscard]] state::result<order_ticket> begin_order(const state::deployment_id& deployment,
                                                          state::time_point now);

    /// Checks after an order that the lease is still held. Fails with `lease_not_held` when the
    /// reply must not be accepted. Must be called exactly once for each ticket.
    state::result<void> end_order(const order_ticket& ticket, order_end end, state::time_point now);

    /// Adds the check of the lease row's version to a holder's transaction, so that the store
    /// rejects the transaction once another member holds the lease, also after a restore. Fails
    /// with `lease_not_held` when this member does not hold the lease, or when the row's version is
    /// unknown because the reply to the last renewal was lost. The thread that calls `maintain`
    /// must call this and send the transaction.
    [[nodiscard]] state::result<state::table_transaction>
    with_lease_check(const state::deployment_id& deployment, state::table_transaction transaction,
                     state::time_point now);

    /// Returns the phase of the lease at `now`.
    [[nodiscard]] state::lease_phase phase(const state::deployment_id& deployment,
                                           state::time_point now);

private:
    enum class write_kind { acquire, renew, release };
    /// A conditional write of the lease row.
    struct lease_write {
        write_kind kind = write_kind::acquire;
        state::table_transaction transaction;
        state::lease_row row;
        state::time_point sent_at{}; ///< taken before sending; the lease's validity starts here
        state::time_point first_order_at{};
    };
    /// What this member knows of one lease. `valid_until` and `first_order_at` are meaningful only
    /// in the phases `waiting`, `holding` and `lapsed`.
    struct lease_state {
        state::lease_phase phase = state::lease_phase::observing;
        state::lease_row row;
        std::uint64_t version = 0;      ///< version of `row`; 0 when absent
        std::uint64_t era = 0;          ///< of the store that returned `row`
        state::time_point seen_at{};    ///< when this member first saw that version
        bool may_have_lost_row = false; ///< an absent row may have been lost in a restore
        bool has_read = false;          ///< a row, or its absence, has been read
        state::time_point valid_until{};
        state::time_point first_order_at{};
        state::time_point next_renewal{};
        std::uint32_t orders_in_flight = 0;
        state::time_point last_order_expires_at{}; ///< no unanswered order can be applied after it
        std::optional<lease_write> pending;        ///< write whose reply was lost
    };

    state::result<void> resolve_pending(const state::deployment_id& deployment);
    state::result<void> read_lease_row(const state::deployment_id& deployment);
    state::result<void> send(const state::deployment_id& deployment, lease_write write);
    void apply_result(const state::deployment_id& deployment, const lease_write& write,
                      const state::transaction_result& outcome);
    /// Discards what is known of the row and of this member's claim, because a restored store
    /// may have lost a newer row and gives out its versions again.
    void enter_era(lease_state& lease, std::uint64_t era, state::time_point now) const;
    /// Makes the store refuse writes that were sent in an earlier era once `transaction` is
    /// applied, because their checks may pass on versions that were given out again.
    static void close_earlier_eras(const state::deployment_id& deployment, std::uint64_t era,
                                   state::table_transaction& transaction);
    void revert_phase(const state::deployment_id& deployment);
    /// Returns the write that is due at `now`, or nothing.
    [[nodiscard]] std::optional<lease_write> plan_write(const state::deployment_id& deployment,
                                                        const lease_state& lease, bool wanted,
                                                        state::time_point now);
    /// Enters the phase of a planned write. Returns false when an order was started in the meantime
    /// and the write would release the lease.
    bool begin_write(const state::deployment_id& deployment, write_kind kind);
    [[nodiscard]] lease_write make_write(const state::deployment_id& deployment,
                                         const lease_state& lease, write_kind kind,
                                         state::lease_row row, state::time_point now);
    /// Enters the phase that is due at `now` and returns the state of the lease.
    lease_state update_phase(const state::deployment_id& deployment, state::time_point now);
    static void set_phase(lease_state& lease, state::lease_phase next);
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
    std::atomic<std::uint64_t> m_sequence{0}; // last number used in a write key or order key
    state::sharded_map<state::deployment_id, lease_state> m_leases;
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
