// All that this host knows of the runners: their entries, their reports, what
// other hosts have seen, and whether they answer.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/runner_record.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// A runner as this host knows it.
struct runner_view {
    /// Entries lag behind reports by a heartbeat and the store's feed.
    static constexpr state::milliseconds former_head_age{3'000};

    state::runner_record record;
    bool has_entry = false;                         ///< listed on the platform
    std::optional<state::time_point> unlisted_from; ///< when a removed entry counts as gone
    std::optional<state::time_point> reported_at;   ///< last report, own or passed on
    std::optional<state::time_point> answered_at;   ///< last answer of any kind
    std::optional<state::time_point> silent_since;  ///< first unanswered probe after it
    std::optional<state::time_point> vouched_until; ///< another host has had answers lately
    state::time_point cold_until{};
    state::time_point avoided_until{};          ///< calls failed here a short time ago
    state::milliseconds refusal_pause{0};       ///< the last one; 0 after an answer
    std::optional<state::time_point> headed_at; ///< when it was last seen as a group's head
    bool is_order_in_progress = false;
    std::string last_model; ///< of the last group in which it was ready in this life
    /// Since when a report is awaited that shows an accepted order.
    std::optional<state::time_point> awaits_report_since;
    bool is_effect_known = true; ///< what that order did is known without a report
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    double pace = 1;

    /// Listed at `now`; a removed entry counts until its grace is over.
    [[nodiscard]] bool is_listed(state::time_point now) const {
        return has_entry || (unlisted_from && now < *unlisted_from);
    }
    /// A head, or one until lately. Other hosts must learn of its end too,
    /// although its entry may say otherwise for some seconds.
    [[nodiscard]] bool was_head_lately(state::time_point now) const {
        return headed_at && now - *headed_at < former_head_age;
    }
    /// May receive calls at `now`, its group and zone aside.
    [[nodiscard]] bool may_take_calls(state::time_point now) const {
        return is_listed(now) && !record.is_draining && !silent_since && now >= avoided_until;
    }
};

using fleet_snapshot = std::vector<runner_view>;

/// The runners of all services. Thread-safe.
class fleet_table {
public:
    /// How long a runner that has neither an entry nor an answer is remembered.
    static constexpr state::milliseconds forget_after{30'000};
    /// A report within this time goes before an entry that says otherwise of
    /// the group, because entries reach the store later than reports.
    static constexpr state::milliseconds report_precedence{1'500};

    /// After this time a report is believed although it counts fewer orders.
    static constexpr state::milliseconds longest_report_lag{1'000};

    /// A runner that says it is not the head of an open group is left alone for
    /// this long, and for twice as long each time it says so again, because what
    /// this host believes of it may stay wrong while it is cut off.
    static constexpr state::milliseconds least_refusal_pause{250};
    static constexpr state::milliseconds longest_refusal_pause{4'000};

    fleet_table() : m_snapshot(fleet_snapshot{}) {}

    /// A runner's entry as read at `now`.
    void apply_entry(const state::runner_record& entry, state::time_point now);
    /// The entry is gone, which counts from `from` on.
    void apply_removal(const state::endpoint_id& id, state::time_point from);
    /// A report that this host was given at the runner's address. False: it is
    /// of another life, so the one that is known has ended.
    bool apply_report(const state::endpoint_id& id, const state::runner_report& report,
                      state::time_point now);
    /// What another host has seen.
    void apply_sighting(const state::runner_sighting& sighting, state::time_point now);
    /// An order was accepted, so the runner's next order has the next number.
    void note_order_accepted(const state::runner_order& order, state::time_point now);
    /// The life `born_ms` of the runner did not answer in time.
    void note_silence(const state::endpoint_id& id, std::uint64_t born_ms, state::time_point now);
    /// The runner answered a call.
    void note_answer(const state::endpoint_id& id, state::time_point now);
    /// Another host has had an answer from the runner.
    void note_vouched(const state::endpoint_id& id, state::time_point until);
    /// The runner refused a call because it is not the one that serves it.
    void note_refusal(const state::endpoint_id& id, state::time_point now);
    /// Keeps calls away from the runner until `until`.
    void avoid(const state::endpoint_id& id, state::time_point until);

    [[nodiscard]] std::optional<runner_view> find(const state::endpoint_id& id) const;

    /// Rebuilds the snapshot, notes the heads, and forgets runners that are long gone.
    void refresh(state::time_point now);
    /// All runners as of the last refresh, ordered by their ids.
    [[nodiscard]] std::shared_ptr<const fleet_snapshot> snapshot() const {
        return m_snapshot.load();
    }

private:
    state::sharded_map<state::endpoint_id, runner_view> m_runners;
    state::snapshot_cell<fleet_snapshot> m_snapshot;
};

} // namespace savoryrelay::coordination
