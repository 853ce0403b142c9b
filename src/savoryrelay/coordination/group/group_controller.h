// Carries one deployment's groups from the table's rows and the engines'
// reports to their next states. Everything that must survive the process is in
// the table, so a successor continues from any point.
#pragma once

#include "savoryrelay/coordination/group/group_completeness.h"
#include "savoryrelay/coordination/group/group_planner.h"
#include "savoryrelay/coordination/group/host_loss.h"
#include "savoryrelay/coordination/rollout/rollout.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/platform/table_row.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// What a holder knows of its own lease. `key` and `version` were read before
/// the step and are checked by each transaction.
struct lease_proof {
    std::uint64_t fencing_number = 0;
    std::string key;
    std::uint64_t version = 0;
    state::time_point valid_until{}; ///< last renewal sent plus the duration
};

/// Encoders of the rows; the implementations are in the protocol layer.
struct group_codec {
    std::function<std::string(const state::group_row&)> write_group;
    std::function<state::result<state::group_row>(const std::string&)> read_group;
    std::function<std::string(const state::host_claim&)> write_claim;
    std::function<std::string(const state::rollout_row&)> write_rollout;
    std::function<state::result<state::rollout_row>(const std::string&)> read_rollout;
};

/// What an order tells an engine.
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
    std::string order_key; ///< the same key is applied once
    std::uint64_t fencing_number = 0;
    order_kind kind = order_kind::join;
    state::host_id host;
    state::group_row group; ///< the group to join or to leave
};

/// What became of an order. A lost reply needs no read-back: the engine's next
/// report shows whether the order took effect.
enum class order_outcome { accepted, refused_fencing, unknown };

/// The reply with the sender's clock after it.
struct order_reply {
    order_outcome outcome = order_outcome::unknown;
    state::time_point received_at{};
};

/// The engines, as the controller reaches them.
struct group_engine_hooks {
    std::function<order_reply(const engine_order&)> send_order;
    std::function<engine_reports()> read_reports;
};

/// Decisions; tests pass naive ones to show that a property depends on them.
struct group_decisions {
    is_complete_hook complete = is_complete;
    decide_host_loss_hook host_loss = decide_host_loss;
    plan_groups_hook plan = plan_groups;
    evaluate_rollout_hook rollout = evaluate_rollout;
};

/// Times of the controller.
struct group_settings {
    state::milliseconds report_age{5'000};   ///< older reports do not make a group complete
    state::milliseconds lost_after{15'000};  ///< a host without a report for so long is lost
    state::milliseconds drain_settle{6'000}; ///< until every member has seen that a group drains
    state::milliseconds order_timeout{2'000};
    state::milliseconds order_margin{500};
    host_loss_settings host_loss{};
};

/// What the configuration asks of the deployment.
struct deployment_demand {
    state::deployment_id deployment;
    std::uint32_t hosts_per_group = 1;
    std::uint32_t spares_per_domain = 0;
    rollout_settings rollout;
    std::set<state::availability_zone_id> drained_zones;
};

/// Fails with `invalid_settings`, naming the setting, when groups could never
/// form, serve or be repaired under them.
[[nodiscard]] state::result<void> check_group_settings(const group_settings& settings,
                                                       const deployment_demand& demand);

/// Counts of one step, for metrics.
struct group_step_summary {
    std::uint32_t committed = 0; ///< transactions that took effect
    std::uint32_t conflicts = 0; ///< transactions whose checks failed
    std::uint32_t orders = 0;    ///< orders sent
    std::uint32_t waiting = 0;   ///< groups that wait for a lost host
    std::uint32_t unplaced = 0;  ///< groups wanted but without hosts
};

/// Controls the groups of one deployment for the holder of its lease. Used by
/// one thread; its memory is only a cache of times and of the last write.
class group_controller {
public:
    group_controller(state::platform_hooks platform, group_codec codec, group_engine_hooks engines,
                     group_decisions decisions, group_settings settings);

    /// Performs at most one change of each group and starts what the roll-out
    /// asks for. Fails with the store's failure, or `lease_not_held` when an
    /// order could no longer be sent in time; repeat it at the next tick.
    [[nodiscard]] state::result<group_step_summary>
    step(const lease_proof& lease, const deployment_demand& demand, state::time_point now);

    /// Writes that operators submit `version`. Fails with `invalid_settings`
    /// before any write, or with `store_conflict`.
    [[nodiscard]] state::result<void>
    submit(const lease_proof& lease, const deployment_demand& demand, const std::string& version);

private:
    struct step_context;
    using group_entry = state::versioned<state::group_row>;

    state::result<bool> commit(state::table_transaction transaction);
    state::result<void> settle_pending();
    state::result<void> load(step_context& context);
    state::result<void> advance(step_context& context, const group_entry& entry);
    state::result<void> handle_loss(step_context& context, const group_entry& entry);
    state::result<void> replace_hosts(step_context& context, const group_entry& entry);
    state::result<void> change_state(step_context& context, const group_entry& entry,
                                     state::group_state next, bool counts_as_failure = false);
    state::result<void> reassemble(step_context& context, const group_entry& entry);
    state::result<void> release(step_context& context, const group_entry& entry);
    state::result<void> send(step_context& context, order_kind kind, const state::host_id& host,
                             const state::group_row& group);
    state::result<void> apply_rollout(step_context& context);
    state::result<void> form(step_context& context, const rollout_change& change);
    state::result<void> apply(step_context& context, state::table_transaction transaction);
    state::table_transaction begin(const lease_proof& lease);
    state::time_point since(const std::string& what, state::time_point now);
    void note_progress(step_context& context, rollout_view& view);

    state::platform_hooks m_platform;
    group_codec m_codec;
    group_engine_hooks m_engines;
    group_decisions m_decisions;
    group_settings m_settings;

    std::uint64_t m_sequence = 0;
    std::optional<state::table_transaction> m_pending; // its result is unknown
    std::map<std::string, state::time_point> m_since;  // first time that a condition was seen
    std::set<std::string> m_still_true;                // conditions seen in this step

    struct sent_order {
        engine_order order;
        std::string reported; // what the engine reported when the key was made
        std::uint32_t attempts = 0;
    };
    std::map<state::host_id, sent_order> m_unanswered;

    // Best progress of the present roll-out and when it was reached.
    std::string m_rollout_mark;
    std::int64_t m_best_progress = 0;
    state::time_point m_progress_at{};
};

} // namespace savoryrelay::coordination
