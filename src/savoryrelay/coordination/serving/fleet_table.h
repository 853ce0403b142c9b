// Holds this host's view of the runners: their entries, their reports, the
// observations of other hosts, and whether they answer.
#pragma once

#include "savoryrelay/coordination/serving/runner_exclusions.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/runner_record.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// The rate of calls that a runner takes from all hosts together, as this host knows it.
struct runner_call_rate {
    std::optional<double> calls_per_s; ///< empty: the runner names no limit
    exclusion_source source = exclusion_source::answer;
    state::time_point shown_at{};   ///< arrival of the newest answer that showed it, at any host
    state::time_point learned_at{}; ///< when this host learned of the present rate
};

/// A runner as this host knows it.
struct runner_view {
    /// How long a former head is still reported to other hosts. Covers the lag of
    /// entries behind reports: a heartbeat and the delay of the store's feed.
    static constexpr state::milliseconds former_head_retention{3'000};
    /// A report that is no older than this takes precedence over an entry with
    /// different group data, because entries arrive later than reports.
    static constexpr state::milliseconds report_precedence{1'500};
    /// An unlisted runner that has been silent for this long no longer works on its calls. A
    /// runner may be silent for a second and go on, and its entry may be missing meanwhile.
    static constexpr state::milliseconds ended_after_silence{2'000};

    /// Invariant: while the runner has a report younger than `report_precedence` and no
    /// unconfirmed order, its group and its sequence are those of one moment. An order changes
    /// the group only together with the sequence, so a runner that accepts an order with this
    /// sequence is in this group.
    state::runner_record record;
    bool has_entry = false;                         ///< listed on the platform
    std::optional<state::time_point> unlisted_from; ///< when the removal of the entry takes effect
    std::optional<state::time_point> reported_at;   ///< last report, received here or by a peer
    std::optional<state::time_point> own_report_at; ///< last report received here
    std::optional<state::time_point> answered_at;   ///< last answer of any kind
    /// When it was found silent. Reset by a report, an accepted order or an observation.
    std::optional<state::time_point> silent_since;
    /// Until then, a peer's observation that the runner answers is valid.
    std::optional<state::time_point> peer_confirmed_until;
    state::time_point cold_until{};         ///< until then, the rate of its calls is limited
    runner_exclusions exclusions;           ///< of this incarnation
    runner_call_rate call_rate;             ///< of this incarnation
    state::milliseconds refusal_backoff{0}; ///< last backoff; 0 after an answer
    bool is_misdirected = false; ///< since its last answer, another runner answered in its place
    bool has_order_in_pause = false;               ///< an order was sent in the last pause
    std::optional<state::time_point> last_head_at; ///< when it was last seen as a group's head
    bool is_order_in_progress = false;
    std::string last_model; ///< of the last group in which this incarnation was ready
    /// The time at which an order was accepted that no report shows yet; empty if
    /// there is no such order.
    std::optional<state::time_point> awaits_report_since;
    bool is_effect_known = true; ///< that order's effect is known without a report
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    double time_factor = 1;

    /// Returns whether the runner is listed at `now`. A removed entry counts as
    /// listed until its grace period ends.
    [[nodiscard]] bool is_listed(state::time_point now) const {
        return has_entry || (unlisted_from && now < *unlisted_from);
    }
    /// Returns whether the runner is a head or was one recently. The
    /// controller also reports a former head to the other hosts, because the runner's
    /// entry may still name it as a head for some seconds.
    [[nodiscard]] bool was_recently_head(state::time_point now) const {
        return record.is_head() || (last_head_at && now - *last_head_at < former_head_retention);
    }
    /// Returns whether the runner has accepted an order whose effect is unknown until its
    /// next report. The sequence counts the order already.
    [[nodiscard]] bool has_unconfirmed_order() const {
        return awaits_report_since && !is_effect_known;
    }
    /// Returns whether the group and the sequence of the record are those of one report.
    [[nodiscard]] bool is_state_reported(state::time_point now) const {
        return reported_at && now - *reported_at < report_precedence && !has_unconfirmed_order();
    }
    /// Returns whether the runner cannot answer the calls that its incarnation `started_ms`
    /// has accepted: that incarnation has ended, or its report shows that a runner that
    /// serves in groups is no longer the head of one. Entries are no evidence of that,
    /// because they lag and may come from an older copy of the store.
    [[nodiscard]] bool has_dropped_calls(std::uint64_t started_ms, bool serves_in_groups,
                                         state::time_point now) const {
        const bool has_ended =
            silent_since && now - *silent_since >= ended_after_silence && !is_listed(now);
        return record.started_ms != started_ms || has_ended ||
               (serves_in_groups && is_state_reported(now) && !record.is_head());
    }
    /// Returns whether the runner is about to stop.
    [[nodiscard]] bool is_leaving(state::time_point now) const {
        return exclusions.contains(exclusion_reason::draining, now) ||
               exclusions.contains(exclusion_reason::leaving, now);
    }
    /// Returns when the pause ends that the runner has asked this host for; empty if there is
    /// none.
    [[nodiscard]] std::optional<state::time_point> paused_until(state::time_point now) const {
        const auto pause = exclusions.find(exclusion_reason::pause_requested, now);
        return pause ? std::optional(pause->until) : std::nullopt;
    }
    /// Returns whether the runner has said that it wants no calls of this host.
    [[nodiscard]] bool wants_no_calls(state::time_point now) const {
        return is_leaving(now) || paused_until(now);
    }
    /// Returns whether the runner may receive calls at `now`. Does not check its
    /// group or zone.
    [[nodiscard]] bool may_take_calls(state::time_point now) const {
        return is_listed(now) && !silent_since && !exclusions.any(now);
    }
};

using fleet_snapshot = std::vector<runner_view>;

/// Holds the runners of all services. Thread-safe.
class fleet_table {
public:
    /// A runner is removed when it has had neither an entry nor an answer for
    /// this long.
    static constexpr state::milliseconds forget_after{30'000};
    /// When no report has shown an accepted order after this time, a report is
    /// applied even though it counts fewer orders.
    static constexpr state::milliseconds max_report_lag{1'000};

    /// A runner that refuses a call because it is not the head of an open group, or at whose
    /// address another one answers, gets no calls for this long. The time doubles with each
    /// further refusal up to the maximum, because this host's view of the runner may stay wrong
    /// while the host is isolated.
    static constexpr state::milliseconds min_refusal_backoff{250};
    static constexpr state::milliseconds max_refusal_backoff{4'000};

    /// A runner that said that it leaves is remembered for this long after its removal, so
    /// that an old copy of the store does not make it a candidate again.
    static constexpr state::milliseconds departure_retention{600'000};
    /// A host tells the others of a leaving runner for this long, because datagrams get lost
    /// and members leave a hub that has ended only after some time.
    static constexpr state::milliseconds leaving_announced_for{1'200};
    /// The most leaving runners that a host announces at a time.
    static constexpr std::size_t max_leaving_announced = 64;
    /// A host tells the others of a changed rate of calls for this long.
    static constexpr state::milliseconds call_rate_announced_for{1'200};
    /// The most rates of calls that a host announces at a time.
    static constexpr std::size_t max_call_rates_announced = 128;

    fleet_table() : m_snapshot(fleet_snapshot{}) {}

    /// Applies a runner's entry that was read at `now`.
    void apply_entry(const state::runner_record& entry, state::time_point now);
    /// Applies the removal of an entry, which takes effect at `from`.
    void apply_removal(const state::endpoint_id& id, state::time_point from);
    /// Applies a report that this host got from the runner's address. Returns
    /// false when the report is from another incarnation, which means that the
    /// known one has ended.
    bool apply_report(const state::endpoint_id& id, const state::runner_report& report,
                      state::time_point now);
    /// Applies an observation of another host.
    void apply_observation(const state::runner_observation& observation, state::time_point now);
    /// Records that an order was accepted, so that the runner's next order carries
    /// the next sequence number. Has no effect on the state when a report or an observation
    /// has counted the order already.
    void note_order_accepted(const state::runner_order& order, state::time_point now);
    /// Records that the runner's incarnation `started_ms` did not answer in time.
    void note_silence(const state::endpoint_id& id, std::uint64_t started_ms,
                      state::time_point now);
    /// Records that the runner answered a call.
    void note_answer(const state::endpoint_id& id, state::time_point now);
    /// Records that another host got an answer from the runner; the information is
    /// valid until `until`.
    void note_peer_confirmation(const state::endpoint_id& id, state::time_point until);
    /// Records that the runner refused a call because it is not the head of an open
    /// group, and starts a backoff.
    void note_refusal(const state::endpoint_id& id, state::time_point now);
    /// Records that another runner answered a call at the runner's address. Starts a backoff if
    /// the runner has not answered since the last such call.
    void note_misdirected(const state::endpoint_id& id, state::time_point now);
    /// Records that a call of this host failed. Excludes the runner from new calls until
    /// `until`.
    void avoid(const state::endpoint_id& id, state::time_point now, state::time_point until);
    /// Records that the runner's incarnation `started_ms` said that it leaves. Neither an entry
    /// nor an observation undoes it. Returns whether this is new.
    bool note_leaving(const state::endpoint_id& id, std::uint64_t started_ms,
                      exclusion_source source, state::time_point now);
    /// Records that the runner's incarnation `started_ms` asked this host for a pause until
    /// `until`. Returns whether a pause begins.
    bool note_pause(const state::endpoint_id& id, std::uint64_t started_ms, state::time_point now,
                    state::time_point until);
    /// Records that an answer of the runner's incarnation `started_ms`, which arrived at
    /// `shown_at`, named the rate `calls_per_s` or none. An older answer changes nothing. Returns
    /// whether the rate has changed.
    bool note_call_rate(const state::endpoint_id& id, std::uint64_t started_ms,
                        std::optional<double> calls_per_s, exclusion_source source,
                        state::time_point shown_at, state::time_point now);
    /// Returns the rates of calls that have changed lately.
    [[nodiscard]] std::vector<state::call_rate_notice>
    recent_call_rates(state::time_point now) const;
    /// Returns whether an order may be sent to the runner, and counts it. In a pause, only the
    /// first one may be.
    bool reserve_order(const state::endpoint_id& id, state::time_point now);
    /// Returns the runners of which this host has learned lately that they leave.
    [[nodiscard]] std::vector<state::leaving_runner> recently_leaving(state::time_point now) const;

    [[nodiscard]] std::optional<runner_view> find(const state::endpoint_id& id) const;

    /// Updates when each head was last seen as one, removes runners after `forget_after`,
    /// and rebuilds the snapshot if the runners have changed.
    void refresh(state::time_point now);
    /// Returns all runners as of the last refresh, ordered by their ids.
    [[nodiscard]] state::snapshot<fleet_snapshot> snapshot() const { return m_snapshot.load(); }

private:
    struct departure {
        std::uint64_t started_ms = 0;
        state::time_point forgotten_at{};
    };

    /// Remembers the leaving runners among those that `refresh` is about to remove.
    void remember_departures(state::time_point now);

    state::sharded_map<state::endpoint_id, runner_view> m_runners;
    state::sharded_map<state::endpoint_id, departure> m_departures; // of removed runners
    state::snapshot_cell<fleet_snapshot> m_snapshot;
    std::atomic<bool> m_is_changed{false}; // since the snapshot was built
};

} // namespace savoryrelay::coordination
