// Decides the orders that form, open, close and re-form the groups of one
// service. The groups themselves are kept by the runners, which report them, so
// a successor continues from the reports alone.
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

/// Times of the steering.
struct steering_settings {
    /// An order without an answer is settled by the runner's next report after this time.
    state::milliseconds order_settle{400};
    /// An order that did not fit is decided anew from reports after this time.
    state::milliseconds refusal_settle{250};
    /// An order to open shows in the reports after this time at the latest.
    state::milliseconds open_settle{1'000};
    /// A group that has not been open for this long is nobody's work and is
    /// dissolved. Covers the opening and the lag of reports.
    state::milliseconds abandoned_after{1'000};
    /// A runner that has been silent for this long, while no other host has had
    /// an answer from it, is treated as ended. Its group's members leave before
    /// they join another, so that an error about it costs one group at most.
    state::milliseconds gone_after{400};
    /// A silent member counts as lost after this time, in which other hosts that
    /// have an answer from it can say so.
    state::milliseconds lost_after{150};
    /// Members of a group whose head is not known are told to leave after this
    /// time, which covers the lag of the head's report.
    state::milliseconds headless_after{400};
    /// When more than this part of the runners is silent, this host is cut off.
    double cut_off_share = 0.6;
    /// Before any call has come, groups are formed once no runner has been added
    /// for this long: a little more than runners take to write their entries.
    state::milliseconds quiet_fleet{1'300};
    /// A free runner keeps the weights on its host for this long before it loads
    /// others for a model that lacks groups.
    state::milliseconds restage_after{6'000};
    /// A conversion that has made no group after this time is given up: the
    /// longest calls, two orders, a join of staged weights and the opening.
    state::milliseconds conversion_limit{8'000};
    /// Loads that are left to runners without weights while others stage a
    /// second model.
    std::size_t reserved_loads = 2;
    /// A load that was ordered shows in the runner's report after this time.
    state::milliseconds staging_shows{1'500};
    /// Part of the weight store's rate that is used.
    double load_rate_share = 0.8;
};

/// What a step works from.
struct steering_view {
    const state::service_rule* service = nullptr; ///< has an engine
    const fleet_snapshot* fleet = nullptr;
    std::set<state::availability_zone_id> zones_out_of_service;
    std::map<std::string, double> work; ///< groups kept busy by model; empty before any call
    bool is_first_start = false;        ///< of the whole system: loads before calls are cheap
    std::uint64_t epoch = 0;            ///< of the lease under which orders are sent
};

/// Steers one service. Used by one thread; its memory is a cache that a
/// successor does without.
///
/// Invariants of its orders: a group is opened only after each of its members
/// has reported ready under its name, epoch and list; no runner joins another
/// group before it has left one whose head is, or may become, open.
class group_steering {
public:
    explicit group_steering(steering_settings settings) : m_settings(settings) {}

    /// The orders to send now, at most one a runner.
    [[nodiscard]] std::vector<state::runner_order> plan(const steering_view& view,
                                                        state::time_point now);
    /// How an order ended.
    void note_result(const state::runner_order& order, state::runner_order_result result,
                     state::time_point now);

    /// Whether the runner's life has certainly ended at `now`.
    [[nodiscard]] bool is_gone(const runner_view& runner, state::time_point now) const;

private:
    /// A group on its way to be opened.
    struct formation {
        std::string group;
        std::uint64_t epoch = 0;
        std::string model;
        state::fabric_domain_id domain;
        std::vector<state::endpoint_id> members;           // the first is the head
        std::map<state::endpoint_id, std::uint64_t> lives; // born_ms by member
        /// One spare joins alone and leaves once it is ready, so that it can join
        /// a group of the model at once and has room for other weights.
        bool is_warm_up = false;
    };
    struct standing_group {
        const runner_view* head = nullptr; // null: not known
        std::vector<const runner_view*> members;
    };
    struct staging_order {
        std::string model;
        std::uint64_t born_ms = 0;
        state::time_point at{};
        state::time_point until{};
    };
    struct step; // one call of plan

    [[nodiscard]] bool is_silent_for(const runner_view& runner, state::milliseconds span,
                                     state::time_point now) const;
    [[nodiscard]] bool is_settled(const state::endpoint_id& runner, state::time_point now) const;
    void collect_groups(step& work);
    void steer_standing(step& work);
    void release_members(step& work);
    void advance_formations(step& work);
    void form_groups(step& work);
    void plan_targets(step& work);
    /// Closes groups of a model with plenty for one that lacks them.
    void convert_groups(step& work);
    /// Has runners load a second model beside that of their last group, which
    /// they can join again without weights.
    void stage_second_models(step& work);
    /// Whether a group of `model` would take runners that a busier model waits for.
    [[nodiscard]] bool is_kept_for_busier(const step& work, const state::fabric_domain_id& domain,
                                          const std::string& model) const;
    [[nodiscard]] static bool is_ready_for(const runner_view& runner, const std::string& model);
    void form_first_groups(step& work, const state::fabric_domain_id& domain);
    void form_in_domain(step& work, const state::fabric_domain_id& domain);
    [[nodiscard]] bool form_ready_group(step& work, const state::fabric_domain_id& domain);
    void stage_in_domain(step& work, const state::fabric_domain_id& domain);
    /// False: it cannot be ordered now.
    bool stage(step& work, const runner_view& runner, const std::string& model);
    void warm_up_spares(step& work, const state::fabric_domain_id& domain);
    void start_formation(step& work, const state::model_rule& model,
                         const std::vector<const runner_view*>& members, bool is_warm_up = false);
    [[nodiscard]] bool may_load(const step& work);
    void order(step& work, const runner_view& runner, state::runner_order_kind kind,
               const std::string& group, std::uint64_t epoch);

    steering_settings m_settings;
    std::uint64_t m_next_group = 0;
    std::size_t m_known_runners = 0;
    state::time_point m_grown_at{}; // when a runner was added last
    std::vector<formation> m_formations;
    std::map<state::endpoint_id, state::time_point> m_unsettled; // ordered; settled from then on
    std::map<state::endpoint_id, staging_order> m_stagings;
    std::optional<conversion> m_conversion; // under way, until m_conversion_until
    state::time_point m_conversion_until{};
    std::map<state::endpoint_id, state::time_point> m_free_since;
    std::map<std::string, state::time_point> m_not_open_since; // by group
    std::map<std::string, state::time_point> m_headless_since; // by group
    std::set<std::string> m_closed;                            // groups that were told to close
    std::map<std::string, state::endpoint_id> m_told_to_leave; // heads, by group
    std::set<std::string> m_dissolved;                         // groups that their heads have left
    std::deque<state::time_point> m_loads;                     // starts of loads in the last second
};

} // namespace savoryrelay::coordination
