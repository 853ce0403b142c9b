// Decides the orders that form, open, close and re-form the groups of one
// service. The runners hold the state of the groups and report it, so the next
// lease holder continues from the reports alone.
#pragma once

#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/group_layout.h"
#include "savoryrelay/coordination/serving/model_balance.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Time limits and shares used by `group_reconciler`.
struct group_reconciler_settings {
    /// When an order got no answer, the first report after this time shows whether
    /// it was carried out; until then the runner gets no other order.
    state::milliseconds order_settle_time{400};
    /// After a refused order, the runner gets no other order for this time, so that
    /// the next one is decided from newer reports.
    state::milliseconds refusal_settle_time{250};
    /// Reports show the effect of an `open` order within this time.
    state::milliseconds open_settle_time{1'000};
    /// When a group has not been open for this long, it is assumed that no lease
    /// holder is forming it, and it is dissolved. Covers the opening and the lag of
    /// reports.
    state::milliseconds abandoned_after{1'000};
    /// A runner that has been silent for this long, while no other host has got an
    /// answer from it, is treated as ended. The members of its group leave before
    /// they join another group, so a wrong decision costs at most one group.
    state::milliseconds gone_after{400};
    /// A silent member counts as lost after this time, which lets other hosts report
    /// that it answers them.
    state::milliseconds lost_after{150};
    /// Members of a group whose head is unknown are ordered to leave after this
    /// time, which covers the lag of the head's report.
    state::milliseconds headless_after{400};
    /// A new lease holder waits at most this long for the reports of all runners before it
    /// plans. Covers the timeout of a report request.
    state::milliseconds first_report_wait{300};
    /// When more than this share of the runners is silent, this host is assumed to
    /// be isolated and sends no orders.
    double max_silent_share = 0.6;
    /// At the first start, before any call, groups are formed once no runner has been
    /// added for this long, which is slightly longer than runners take to write
    /// their entries.
    state::milliseconds fleet_settle_time{1'300};
    /// A free runner keeps the weights on its host for this long before it loads
    /// others for a model that lacks groups.
    state::milliseconds restage_after{6'000};
    /// A conversion that has formed no group after this time is abandoned. Covers
    /// the longest calls, two orders, a join with staged weights and the opening.
    state::milliseconds conversion_timeout{8'000};
    /// Number of concurrent loads that are reserved for runners without weights while
    /// others stage a second model.
    std::size_t reserved_loads = 2;
    /// After this time, the runner's reports show a load that was ordered.
    state::milliseconds staging_report_delay{1'500};
    /// Share of the weight store's rate limit that is used.
    double load_rate_share = 0.8;
};

/// Input of one planning step.
struct group_reconciler_input {
    const state::service_rule* service = nullptr; ///< has an engine
    const fleet_snapshot* fleet = nullptr;
    std::set<state::availability_zone_id> zones_out_of_service;
    /// Number of groups kept busy, by model. Empty before the first call.
    std::map<std::string, double> work;
    /// Whether the whole system starts for the first time. Loads before the first call
    /// are then not subject to the weight store's rate limit.
    bool is_first_start = false;
    std::uint64_t epoch = 0; ///< fencing number of the lease under which orders are sent
    /// When this host became the lease holder. Orders are based on reports received since.
    state::time_point holder_since{};
};

/// Plans the orders for the groups of one service. Not thread-safe. Its own state is
/// a cache that the next lease holder does not need.
///
/// Invariants of its orders: a group is opened only after each of its members has
/// reported `ready` for the group's name and epoch; all `join` orders of the group carry
/// the same list of members. A `join` order carries a sequence number with which its runner
/// was in no group, so a runner that is in a group refuses it, however old the information
/// that led to the order. Therefore a runner joins a group only after it has left the last.
/// Each order is based on a report that this host received from the runner as the lease
/// holder.
class group_reconciler {
public:
    explicit group_reconciler(group_reconciler_settings settings) : m_settings(settings) {}

    /// Returns the orders to send now, at most one for each runner.
    [[nodiscard]] std::vector<state::runner_order> plan(const group_reconciler_input& input,
                                                        state::time_point now);
    /// Records the result of an order.
    void note_result(const state::runner_order& order, state::runner_order_result result,
                     state::time_point now);

    /// Returns whether the runner's incarnation is treated as ended at `now`.
    [[nodiscard]] bool is_gone(const runner_view& runner, state::time_point now) const;

private:
    /// A group that is being formed and is not open yet.
    struct formation {
        std::string group;
        std::uint64_t epoch = 0;
        std::string model;
        state::fabric_domain_id domain;
        std::vector<state::endpoint_id> members;                 // the first is the head
        std::map<state::endpoint_id, std::uint64_t> start_times; // started_ms by member
        /// The formation is a single spare that leaves once it is ready. After this
        /// it can join a group of the model without loading weights, and its host
        /// can stage another model.
        bool is_warm_up = false;
    };
    struct known_group {
        const runner_view* head = nullptr; // null when unknown
        std::vector<const runner_view*> members;
    };
    struct staging_order {
        std::string model;
        std::uint64_t started_ms = 0;
        state::time_point at{};    // when the order was decided
        state::time_point until{}; // end of the time allowed for the load
    };
    struct step; // data of one call of plan

    [[nodiscard]] bool is_silent_for(const runner_view& runner, state::milliseconds span,
                                     state::time_point now) const;
    [[nodiscard]] bool is_settled(const state::endpoint_id& runner, state::time_point now) const;
    /// Returns whether all runners have reported to this lease holder, or it has waited long
    /// enough for them.
    [[nodiscard]] bool has_first_reports(const step& current) const;
    void collect_groups(step& current);
    void update_existing_groups(step& current);
    void release_members(step& current);
    void advance_formations(step& current);
    void form_groups(step& current);
    void plan_targets(step& current);
    /// Closes groups of a model that has spare capacity, so that their runners form a
    /// group of a model that needs more groups.
    void convert_groups(step& current);
    /// Orders runners to load a second model. They can still join groups of their
    /// last model without loading its weights.
    void stage_second_models(step& current);
    /// Returns whether a group of `model` would take runners that a busier model needs.
    [[nodiscard]] bool needs_runners_of_busier(const step& current,
                                               const state::fabric_domain_id& domain,
                                               const std::string& model) const;
    /// Returns whether the runner can join a group of `model` without a load from the
    /// weight store.
    [[nodiscard]] static bool is_ready_for(const runner_view& runner, const std::string& model);
    void form_first_groups(step& current, const state::fabric_domain_id& domain);
    void form_in_domain(step& current, const state::fabric_domain_id& domain);
    [[nodiscard]] bool form_ready_group(step& current, const state::fabric_domain_id& domain);
    void stage_in_domain(step& current, const state::fabric_domain_id& domain);
    /// Orders the runner to load the weights of `model`. Returns false when the order
    /// cannot be sent now.
    bool stage(step& current, const runner_view& runner, const std::string& model);
    void warm_up_spares(step& current, const state::fabric_domain_id& domain);
    void start_formation(step& current, const state::model_rule& model,
                         const std::vector<const runner_view*>& members, bool is_warm_up = false);
    /// Returns whether another load may start within the limits of the weight store.
    [[nodiscard]] bool may_load(const step& current);
    /// Adds an order, unless an earlier order to the runner may still take effect.
    void add_order(step& current, const runner_view& runner, state::runner_order_kind kind,
                   const std::string& group, std::uint64_t epoch);

    group_reconciler_settings m_settings;
    std::uint64_t m_next_group = 0;
    std::size_t m_last_usable_runners = 0;
    state::time_point m_last_growth_at{}; // when the number of usable runners last grew
    std::vector<formation> m_formations;
    std::map<state::endpoint_id, state::time_point>
        m_no_orders_before; // no orders before this time
    std::map<state::endpoint_id, staging_order> m_stagings;
    std::optional<conversion> m_conversion; // in progress until m_conversion_until
    state::time_point m_conversion_until{};
    std::map<state::endpoint_id, state::time_point> m_free_since;
    std::map<std::string, state::time_point> m_not_open_since; // by group
    std::map<std::string, state::time_point> m_headless_since; // by group
    std::set<std::string> m_closed; // groups ordered to close, and groups of ended formations
    std::map<std::string, state::endpoint_id> m_leaving_heads; // ordered to leave, by group
    std::set<std::string> m_dissolved;     // groups whose heads have left or ended
    std::deque<state::time_point> m_loads; // start times of loads in the last second
};

} // namespace savoryrelay::coordination
