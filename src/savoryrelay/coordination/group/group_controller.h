// Moves the groups of one deployment from state to state, based on the rows of the
// platform's table and the engines' reports. All state that must survive the process
// is in the table, so the next lease holder can continue from any point.
#pragma once

#include "savoryrelay/coordination/group/group_completeness.h"
#include "savoryrelay/coordination/group/group_planner.h"
#include "savoryrelay/coordination/group/host_loss.h"
#include "savoryrelay/coordination/rollout/rollout.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/platform/platform_hooks.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// A lease as its holder knows it. `key` and `version` are those of the lease row that
/// was read before the step; each transaction checks them.
struct held_lease {
    std::uint64_t fencing_number = 0;
    std::string key;
    std::uint64_t version = 0;
    state::time_point valid_until{}; ///< send time of the last renewal plus the duration
};

/// Encoders and decoders of the rows; the protocol layer implements them.
struct group_codec {
    std::function<std::string(const state::group_row&)> write_group;
    std::function<state::result<state::group_row>(const std::string&)> read_group;
    std::function<std::string(const state::host_claim&)> write_claim;
    std::function<std::string(const state::rollout_row&)> write_rollout;
    std::function<state::result<state::rollout_row>(const std::string&)> read_rollout;
};

/// What an order instructs an engine to do with the group.
enum class order_kind { join, leave };

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::order_kind> {
    using k = savoryrelay::coordination::order_kind;
    static constexpr std::array rows{
        enum_name<k>{k::join, "join"},
        enum_name<k>{k::leave, "leave"},
    };
};

namespace savoryrelay::coordination {

/// An order to the engine on one host.
struct engine_order {
    std::string order_key; ///< the engine applies each key once
    std::uint64_t fencing_number = 0;
    order_kind kind = order_kind::join;
    state::host_id host;
    state::group_row group; ///< the group to join or to leave
};

/// The outcome of an order as its sender knows it. A lost reply needs no read-back:
/// the engine's next report shows whether the order took effect.
enum class order_outcome { accepted, refused_fencing, unknown };

/// The reply to an order and the sender's time when it arrived.
struct order_reply {
    order_outcome outcome = order_outcome::unknown;
    state::time_point received_at{};
};

/// The controller's access to the engines.
struct group_engine_hooks {
    std::function<order_reply(const engine_order&)> send_order;
    std::function<engine_reports()> read_reports;
};

/// The decision functions. Tests replace them by naive ones to show that a property
/// depends on them.
struct group_decision_hooks {
    is_complete_hook complete = is_complete;
    decide_host_loss_hook host_loss = decide_host_loss;
    plan_groups_hook plan = plan_groups;
    evaluate_rollout_hook rollout = evaluate_rollout;
};

/// Time limits of the controller.
struct group_settings {
    state::milliseconds report_age{5'000};  ///< an older report does not count for completeness
    state::milliseconds lost_after{15'000}; ///< a host without a report for this long is lost
    /// Shortest duration of a drain. Within it, every member sees the draining state.
    state::milliseconds min_drain_time{6'000};
    state::milliseconds order_timeout{2'000};
    state::milliseconds order_margin{500};
    host_loss_settings host_loss{};
};

/// The deployment as the configuration specifies it.
struct deployment_spec {
    state::deployment_id deployment;
    std::uint32_t hosts_per_group = 1;
    std::uint32_t spares_per_domain = 0;
    rollout_settings rollout;
    std::set<state::availability_zone_id> drained_zones;
};

/// Fails with `invalid_settings` and names the setting when groups could never form,
/// serve or be repaired under these settings.
[[nodiscard]] state::result<void> check_group_settings(const group_settings& settings,
                                                       const deployment_spec& spec);

/// Counts of one step, for metrics.
struct group_step_summary {
    std::uint32_t committed = 0; ///< transactions that took effect
    std::uint32_t conflicts = 0; ///< transactions whose checks failed
    std::uint32_t orders = 0;    ///< orders sent
    std::uint32_t waiting = 0;   ///< groups that wait for lost hosts
    std::uint32_t unplaced = 0;  ///< requested groups that fit in no fabric domain
};

/// Controls the groups of one deployment on behalf of the holder of its lease. Only one
/// thread may use it. Between steps it keeps only times, the progress of the roll-out,
/// unanswered orders and a write whose result is unknown.
class group_controller {
public:
    group_controller(state::platform_hooks platform, group_codec codec, group_engine_hooks engines,
                     group_decision_hooks decisions, group_settings settings);

    /// Makes at most one change to each group and starts the changes that the roll-out
    /// requires. Fails with the store's failure, or with `lease_not_held` when the lease
    /// ends too early for an order. The caller repeats the step at the next tick.
    [[nodiscard]] state::result<group_step_summary>
    step(const held_lease& lease, const deployment_spec& spec, state::time_point now);

    /// Writes `version` as the target of the roll-out. Fails with `invalid_settings`
    /// before any write, or with `store_conflict`.
    [[nodiscard]] state::result<void> submit(const held_lease& lease, const deployment_spec& spec,
                                             const std::string& version);

private:
    struct step_context;
    using group_entry = state::versioned<state::group_row>;

    state::result<bool> commit(state::table_transaction transaction);
    state::result<void> resolve_pending_write();
    state::result<void> read_rows(step_context& context);
    state::result<void> advance_group(step_context& context, const group_entry& entry);
    state::result<void> handle_host_loss(step_context& context, const group_entry& entry);
    state::result<void> replace_hosts(step_context& context, const group_entry& entry);
    state::result<void> change_state(step_context& context, const group_entry& entry,
                                     state::group_state next, bool counts_as_failure = false);
    state::result<void> reassemble(step_context& context, const group_entry& entry);
    state::result<void> release_hosts(step_context& context, const group_entry& entry);
    state::result<void> send(step_context& context, order_kind kind, const state::host_id& host,
                             const state::group_row& group);
    state::result<void> apply_rollout(step_context& context);
    state::result<void> form_groups(step_context& context, const rollout_change& change);
    state::result<void> commit_and_count(step_context& context,
                                         state::table_transaction transaction);
    state::table_transaction begin_transaction(const held_lease& lease);
    /// Returns when `condition` was first seen. A step in which it is not seen resets this
    /// time.
    state::time_point first_seen(const std::string& condition, state::time_point now);
    void update_progress(step_context& context, rollout_view& view);

    state::platform_hooks m_platform;
    group_codec m_codec;
    group_engine_hooks m_engines;
    group_decision_hooks m_decisions;
    group_settings m_settings;

    std::uint64_t m_sequence = 0;
    std::optional<state::table_transaction> m_pending_write; // a write whose result is unknown
    std::map<std::string, state::time_point> m_first_seen;   // when each condition was first seen
    std::set<std::string> m_seen_this_step;                  // conditions seen in this step

    struct sent_order {
        engine_order order;
        std::string reported; // the engine's report when the key was created
        std::uint32_t attempts = 0;
    };
    std::map<state::host_id, sent_order> m_unanswered;

    // Best progress of the current roll-out and when it was reached. Both start again when
    // the roll-out's version or state changes.
    std::string m_progress_phase; // that version and state
    std::int64_t m_best_progress = 0;
    state::time_point m_last_progress{};
};

} // namespace savoryrelay::coordination
