// Decides what happens to a booking: who may send it, what a repeated call
// receives, and how a booking is settled whose owner is gone.
#pragma once

#include "savoryrelay/coordination/booking/group_commit.h"
#include "savoryrelay/state/booking/booking_row.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/metrics/metrics.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Settings of bookings.
struct booking_settings {
    state::milliseconds poll_interval{250};     ///< between reads of a row that another member owns
    state::milliseconds sweep_interval{10'000}; ///< between scans of one partition for recovery
    group_commit_settings commit;
};

/// A call that may run at most once.
struct booking_request {
    state::booking_id id;
    state::deployment_id deployment;
    std::string body_digest;    ///< SHA-256 of method, path and body, 64 hex digits
    state::time_point deadline; ///< when the caller stops waiting
};

/// What the front end does for one call. Neither hook may block.
struct booking_call {
    /// Sends the call to the service. Called at most once, after the intent is
    /// durable. `report` must be called with the result in the end.
    std::function<void()> dispatch;
    /// Gives the caller its answer or a failure. Called exactly once.
    std::function<void(const state::attempt<state::booking_answer>&)> complete;
};

/// How a call that was sent to the service ended.
struct dispatch_report {
    /// `not_run` only when no byte of the call was sent and none will be.
    state::execution_outcome outcome = state::execution_outcome::unknown;
    state::booking_answer answer; ///< when `ran`
};

/// What a service says of a key.
enum class service_reading {
    ran,     ///< the call ran; the answer is attached
    running, ///< the call runs now
    absent,  ///< the service has not seen the key, which may still arrive
    closed,  ///< the key has not run and will be refused from now on
};

/// A service's reading of one key.
struct service_booking {
    service_reading reading = service_reading::absent;
    state::booking_answer answer;
};

/// Hooks to the service, empty where a deployment offers none. They block and
/// are called by `recover` only.
struct booking_service_hooks {
    std::function<state::result<service_booking>(const state::deployment_id&,
                                                 const std::string& service_key)>
        read_back;
    std::function<state::result<service_booking>(const state::deployment_id&,
                                                 const std::string& service_key)>
        close_key;
};

/// Hooks to what the member knows of others.
struct booking_member_hooks {
    /// True when that run of the member has ended or was declared dead.
    std::function<bool(const state::booking_owner&)> is_gone;
    /// True when this member recovers the partition. It spares work only: two
    /// members that recover the same row do no harm.
    std::function<bool(std::uint32_t partition)> recovers;
};

/// The rules that keep a booking from running twice. Mutation tests replace them.
struct booking_rules {
    /// Whether a call may be sent after this verdict on its intent.
    std::function<bool(commit_verdict)> may_dispatch = [](commit_verdict verdict) {
        return verdict == commit_verdict::committed;
    };
    /// The state of a booking whose owner is gone, from the service's reading.
    /// Nothing while it still runs. An absent key may yet arrive, so it is unknown.
    std::function<std::optional<state::booking_state>(service_reading)> settle =
        [](service_reading reading) -> std::optional<state::booking_state> {
        switch (reading) {
        case service_reading::ran:
            return state::booking_state::ran;
        case service_reading::closed:
            return state::booking_state::closed;
        case service_reading::running:
            return std::nullopt;
        case service_reading::absent:
            break;
        }
        return state::booking_state::unknown;
    };
    /// Whether an outcome that the store did not take is written again.
    std::function<bool(commit_verdict)> keeps_outcome = [](commit_verdict verdict) {
        return verdict == commit_verdict::not_written;
    };
};

/// The bookings of one entry host. `submit` and `report` may be called by any
/// thread and do not block. One thread calls `flush`, another `recover`.
class booking_coordinator {
public:
    struct dependencies {
        state::platform_hooks platform;
        state::booking_codec codec;
        booking_service_hooks service;
        booking_member_hooks members;
        booking_rules rules;
    };

    booking_coordinator(booking_settings settings, state::booking_owner self, dependencies hooks,
                        state::metrics& metrics);

    /// Takes a call. Its completion receives the first answer of the key, or
    /// `store_unavailable`, `idempotency_key_reused`, `booking_unknown`,
    /// `call_in_progress`, `endpoint_unreachable` or `deadline_exceeded`.
    void submit(booking_request request, booking_call call, state::time_point now);

    /// Tells how a dispatched call ended. A late answer may follow `unknown`.
    void report(const state::booking_id& id, const dispatch_report& report);

    /// Commits intents and outcomes, reads rows that conflicted, and answers
    /// calls past their deadline. Blocks on the store.
    void flush(state::time_point now);

    /// Polls rows of other members, settles bookings whose owner is gone, and
    /// scans one partition when due. Blocks on the store and on services.
    void recover(state::time_point now);

    /// See `group_commit`. `timeout` bounds how late a deadline is noticed and
    /// an outcome is written again.
    bool wait_for_work(state::milliseconds timeout, state::milliseconds gather);
    void stop();

    /// Bookings that this host works on.
    [[nodiscard]] std::size_t active() const { return m_active.size(); }

private:
    /// What this host does for a booking at present.
    enum class step {
        created,   ///< new in the map; the first call or a late answer fills it
        inserting, ///< an intent is being written
        running,   ///< the call was dispatched
        settling,  ///< an outcome is being written
        watching,  ///< the row is another member's, or waits for `recover`
    };
    struct waiter {
        booking_request request;
        booking_call call;
    };
    using answer_type = state::attempt<state::booking_answer>;
    /// Invariant: at most one write of the row is in flight, in the steps
    /// `inserting` and `settling`.
    struct active_booking {
        step at = step::created;
        state::booking_row row;
        std::uint64_t version = 0; ///< of the durable row; 0 while none is known
        std::vector<waiter> waiters;
        std::optional<dispatch_report> late; ///< an answer that came after the step `running`
        bool write_again = false;            ///< the outcome was not taken by the store
        state::time_point next_poll{};       ///< next read, or next write of the outcome
    };
    /// An entry that has just been read from the table.
    struct read_booking {
        state::booking_row row;
        std::uint64_t version = 0;
    };

    void write_row(const std::string& key, const state::booking_row& row, std::uint64_t version);
    /// Sets the step and the row of an entry and writes the row.
    void start_write(const std::string& key, const read_booking& next);
    void intent_written(const std::string& key, const row_commit& commit, state::time_point now);
    void outcome_written(const std::string& key, const row_commit& commit, state::time_point now);
    void outcome_conflicted(const std::string& key, const state::booking_row& outcome,
                            state::time_point now);
    void write_outcomes_again(state::time_point now);
    /// Chooses the next step from what the table says.
    void decide(const std::string& key, const std::optional<read_booking>& read,
                state::time_point now);
    void dispatch(const std::string& key, const read_booking& intent, state::time_point now);
    void reject_other_bodies(const std::string& key, const state::booking_row& row);
    void watch(const std::string& key, state::time_point next_poll);
    void poll(const std::string& key, state::time_point now);
    void reconcile(const std::string& key, const read_booking& read, state::time_point now);
    [[nodiscard]] std::optional<service_booking> ask_service(const state::booking_row& row) const;
    void sweep(state::time_point now);
    void expire(state::time_point now);
    /// Answers all waiters from the durable row, unless a late answer replaces it.
    void settle(const std::string& key, const read_booking& final);
    void settle_failure(const std::string& key, const state::failure& error);
    [[nodiscard]] state::result<std::optional<read_booking>> read(const std::string& key) const;
    [[nodiscard]] bool is_abandoned(const state::booking_row& row) const;
    [[nodiscard]] bool can_ask() const;
    template <typename Predicate>
    [[nodiscard]] std::vector<std::string> keys_where(Predicate matches) const;
    [[nodiscard]] static std::optional<state::booking_row>
    apply_late(const active_booking& booking, const state::booking_row& row);
    [[nodiscard]] static answer_type answer_of(const state::booking_row& row,
                                               const booking_request& request);
    [[nodiscard]] static answer_type answer_at_deadline(const active_booking& booking);

    const booking_settings m_settings;
    const state::booking_owner m_self;
    const dependencies m_hooks;
    state::counter& m_dispatched;
    state::counter& m_replayed;
    state::counter& m_recovered;
    state::counter& m_unknown;
    state::counter& m_contradictions;
    state::counter& m_early_answers;
    state::gauge& m_active_gauge;
    group_commit m_commits;
    state::sharded_map<std::string, active_booking> m_active; // by row key
    std::uint32_t m_next_partition = 0;                       // recovering thread only
    std::optional<state::time_point> m_next_sweep;            // recovering thread only
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::service_reading> {
    using r = savoryrelay::coordination::service_reading;
    static constexpr std::array rows{
        enum_name<r>{r::ran, "ran"},
        enum_name<r>{r::running, "running"},
        enum_name<r>{r::absent, "absent"},
        enum_name<r>{r::closed, "closed"},
    };
};
