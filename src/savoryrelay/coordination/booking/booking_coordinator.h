// Coordinates bookings: decides which entry host may send a call, how a
// repeated call is answered, and how a booking is recovered when its owner has
// died.
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

/// Settings of the booking coordinator.
struct booking_settings {
    /// Time between two reads of a row while polling, and between two attempts to
    /// write an outcome.
    state::milliseconds poll_interval{250};
    state::milliseconds sweep_interval{10'000}; ///< between two scans; each scans one partition
    group_commit_settings commit;
};

/// A call that must run at most once.
struct booking_request {
    state::booking_id id;
    state::deployment_id deployment;
    std::string body_digest;    ///< SHA-256 of customer, method, target and body, 64 hex digits
    state::time_point deadline; ///< when the caller stops waiting
};

/// Callbacks of the front end for one call. Neither may block.
struct booking_call {
    /// Sends the call to the service. Called at most once, after the intent is
    /// durable. The front end must later pass the result to `report`.
    std::function<void()> dispatch;
    /// Sends the answer or the failure to the caller. Called exactly once.
    std::function<void(const state::attempt<state::booking_answer>&)> complete;
};

/// The result of a call that was dispatched to the service.
struct dispatch_report {
    /// May be `not_run` only if the call certainly did not run and will not run.
    state::execution_outcome outcome = state::execution_outcome::unknown;
    state::booking_answer answer; ///< set if the outcome is `ran`
};

/// The status of an idempotency key as the service reports it.
enum class service_key_status {
    ran,     ///< the call ran; the report contains its answer
    running, ///< the call is running
    absent,  ///< the service has not received the key; the call may still arrive
    closed,  ///< the call did not run and the service refuses the key from now on
};

/// A service's report about one idempotency key.
struct service_key_report {
    service_key_status key_status = service_key_status::absent;
    state::booking_answer answer;
};

/// Requests to the service about a key; empty if the service does not support
/// them. They block, and only `recover` calls them.
struct booking_service_hooks {
    /// Returns the service's status of the key.
    std::function<state::result<service_key_report>(const state::deployment_id&,
                                                    const std::string& service_key)>
        read_back;
    /// Asks the service to refuse the key from now on if its call has not arrived,
    /// and returns the resulting status.
    std::function<state::result<service_key_report>(const state::deployment_id&,
                                                    const std::string& service_key)>
        close_key;
};

/// Queries about the other members.
struct booking_member_hooks {
    /// Returns whether that incarnation of the member has ended or was declared dead.
    std::function<bool(const state::booking_owner&)> is_gone;
    /// Returns whether this member recovers the partition. This only avoids
    /// duplicate work: two members may safely recover the same row.
    std::function<bool(std::uint32_t partition)> recovers_partition;
};

/// The rules that prevent a booking from running twice. Mutation tests replace them.
struct booking_rules {
    /// Returns whether a call may be sent, given the result of writing its intent.
    std::function<bool(commit_status)> may_dispatch = [](commit_status status) {
        return status == commit_status::committed;
    };
    /// Returns the new state of a booking whose owner has died, given the
    /// service's status of the key, or nothing while the call is running. An
    /// absent key maps to `unknown` because the call may still arrive.
    std::function<std::optional<state::booking_state>(service_key_status)> state_from_service =
        [](service_key_status key_status) -> std::optional<state::booking_state> {
        switch (key_status) {
        case service_key_status::ran:
            return state::booking_state::ran;
        case service_key_status::closed:
            return state::booking_state::closed;
        case service_key_status::running:
            return std::nullopt;
        case service_key_status::absent:
            break;
        }
        return state::booking_state::unknown;
    };
    /// Returns whether the write of an outcome is retried after this result.
    std::function<bool(commit_status)> should_retry_outcome = [](commit_status status) {
        return status == commit_status::not_written;
    };
};

/// Manages the bookings of one entry host. Any thread may call `submit` and
/// `report`; they do not block. One thread calls `flush`, another `recover`.
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

    /// Accepts a call. Its completion receives the answer stored for the key, or
    /// `store_unavailable`, `idempotency_key_reused`, `booking_unknown`,
    /// `call_in_progress`, `endpoint_unreachable` or `deadline_exceeded`.
    void submit(booking_request request, booking_call call, state::time_point now);

    /// Reports the result of a dispatched call. After `unknown`, a second report may
    /// follow if the answer arrives late.
    void report(const state::booking_id& id, const dispatch_report& report);

    /// Commits intents and outcomes, reads rows whose write conflicted, and
    /// completes calls whose deadline has passed. Blocks on the store.
    void flush(state::time_point now);

    /// Polls the rows of bookings in the phase `polling`, recovers bookings whose
    /// owner has died, and scans one partition when `sweep_interval` has passed.
    /// Blocks on the store and on services.
    void recover(state::time_point now);

    /// Blocks like `group_commit::wait_for_work`. Expired deadlines are detected and
    /// outcome writes are retried up to `timeout` late.
    bool wait_for_work(state::milliseconds timeout, state::milliseconds batch_delay);
    void stop();

    /// Returns the number of bookings that this host is processing.
    [[nodiscard]] std::size_t active() const { return m_active.size(); }

private:
    /// What this host is currently doing for a booking.
    enum class booking_phase {
        created,         ///< just inserted into the map; `submit` or `report` sets the next phase
        writing_intent,  ///< the intent is being written
        running,         ///< the call was dispatched
        writing_outcome, ///< the outcome is being written
        polling,         ///< another member owns the row, or `recover` processes it next
    };
    struct waiter {
        booking_request request;
        booking_call call;
    };
    using answer_type = state::attempt<state::booking_answer>;
    /// Invariant: at most one write of the row is in flight, and only in the
    /// phases `writing_intent` and `writing_outcome`.
    struct active_booking {
        booking_phase phase = booking_phase::created;
        state::booking_row row;
        std::uint64_t version = 0; ///< version of the durable row; 0 if unknown
        std::vector<waiter> waiters;
        std::optional<dispatch_report> late_report; ///< received in a phase other than `running`
        bool retry_write = false;      ///< the outcome must be written again at `next_poll`
        state::time_point next_poll{}; ///< time of the next read, or of the next write
    };
    /// A row and the version at which it was read from the table.
    struct versioned_row {
        state::booking_row row;
        std::uint64_t version = 0;
    };

    void write_row(const std::string& key, const state::booking_row& row, std::uint64_t version);
    /// Updates the entry's phase and row, and writes the row.
    void start_write(const std::string& key, const versioned_row& next);
    void on_intent_result(const std::string& key, const row_write_result& write_result,
                          state::time_point now);
    void on_outcome_result(const std::string& key, const row_write_result& write_result,
                           state::time_point now);
    void resolve_outcome_conflict(const std::string& key, const state::booking_row& outcome_row,
                                  state::time_point now);
    void retry_outcome_writes(state::time_point now);
    /// Chooses the next action from the row that was read, or from its absence.
    void continue_from_row(const std::string& key, const std::optional<versioned_row>& current,
                           state::time_point now);
    void dispatch(const std::string& key, const versioned_row& intent_row, state::time_point now);
    void reject_mismatched_calls(const std::string& key, const state::booking_row& row);
    void schedule_poll(const std::string& key, state::time_point next_poll);
    void poll(const std::string& key, state::time_point now);
    void reconcile(const std::string& key, const versioned_row& current, state::time_point now);
    [[nodiscard]] std::optional<service_key_report>
    query_service(const state::booking_row& row) const;
    void sweep(state::time_point now);
    void expire_waiters(state::time_point now);
    /// Removes the entry and answers all its waiters from the durable row. If a late
    /// report changes the row, writes that change instead.
    void finish_booking(const std::string& key, const versioned_row& final);
    void fail_booking(const std::string& key, const state::failure& error);
    [[nodiscard]] state::result<std::optional<versioned_row>> read(const std::string& key) const;
    [[nodiscard]] bool is_abandoned(const state::booking_row& row) const;
    [[nodiscard]] bool can_query_service() const;
    template <typename Predicate>
    [[nodiscard]] std::vector<std::string> keys_where(Predicate matches) const;
    [[nodiscard]] static std::optional<state::booking_row>
    row_after_late_report(const active_booking& booking, const state::booking_row& row);
    [[nodiscard]] static answer_type answer_from_row(const state::booking_row& row,
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
    state::counter& m_answers_before_durable;
    state::gauge& m_active_gauge;
    group_commit m_commits;
    state::sharded_map<std::string, active_booking> m_active; // keyed by row key
    std::uint32_t m_next_partition = 0;                       // used only by the recovering thread
    std::optional<state::time_point> m_next_sweep;            // used only by the recovering thread
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::service_key_status> {
    using r = savoryrelay::coordination::service_key_status;
    static constexpr std::array rows{
        enum_name<r>{r::ran, "ran"},
        enum_name<r>{r::running, "running"},
        enum_name<r>{r::absent, "absent"},
        enum_name<r>{r::closed, "closed"},
    };
};
