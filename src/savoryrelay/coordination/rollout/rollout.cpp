// Evaluates a rolling update of whole groups within a budget.
#include "savoryrelay/coordination/rollout/rollout.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;
using state::group_state;
using state::rollout_state;

bool is_leaving(const rollout_group& group) {
    return group.state == group_state::draining || group.state == group_state::dissolving;
}

bool is_available(const rollout_group& group) {
    return group.state == group_state::serving && group.complete;
}

bool has_failed(const rollout_group& group, const rollout_settings& settings,
                state::time_point now) {
    const bool starting =
        group.state == group_state::forming || group.state == group_state::loading;
    return starting && now - group.state_since > settings.load_deadline;
}

rollout_change abandon(const rollout_group& group, bool failure, std::string reason) {
    return {.kind = rollout_change_kind::abandon,
            .group = group.id,
            .counts_as_failure = failure,
            .reason = std::move(reason)};
}

rollout_change change_rollout_state(rollout_state next, std::string reason) {
    return {.kind = rollout_change_kind::change_rollout_state,
            .next = next,
            .reason = std::move(reason)};
}

/// The groups counted by their role in the roll-out, dissolved ones excluded.
struct group_counts {
    std::uint32_t live = 0; ///< groups that still hold hosts
    std::uint32_t available = 0;
    std::uint32_t target = 0; ///< of the target version and not leaving
    std::uint32_t target_available = 0;
    std::uint32_t leaving = 0;
    std::vector<const rollout_group*> surplus; ///< of another version and not leaving
};

group_counts count_groups(const rollout_view& view, const rollout_settings& settings) {
    group_counts counts;
    const auto& target = state::target_version(view.rollout);
    for (const auto& group : view.groups) {
        if (group.state == group_state::dissolved) {
            continue;
        }
        ++counts.live;
        counts.available += is_available(group) ? 1 : 0;
        if (is_leaving(group)) {
            ++counts.leaving;
        } else if (group.model_version == target && !target.empty() &&
                   counts.target < settings.desired) {
            ++counts.target;
            counts.target_available += is_available(group) ? 1 : 0;
        } else {
            counts.surplus.push_back(&group);
        }
    }
    return counts;
}

/// Abandons the groups that failed to load. Returns how many of them have the version
/// that is being rolled out.
std::uint32_t abandon_failed(const rollout_view& view, const rollout_settings& settings,
                             state::time_point now, std::vector<rollout_change>& changes) {
    std::uint32_t failures = 0;
    for (const auto& group : view.groups) {
        if (has_failed(group, settings, now)) {
            const bool counts_as_failure = view.rollout.state == rollout_state::progressing &&
                                           group.model_version == view.rollout.version;
            failures += counts_as_failure ? 1 : 0;
            changes.push_back(
                abandon(group, counts_as_failure, "not serving by the load deadline"));
        }
    }
    return failures;
}

void remove_surplus(const group_counts& counts, const rollout_settings& settings,
                    bool is_rolling_back, const std::vector<rollout_change>& earlier_changes,
                    std::vector<rollout_change>& changes) {
    const auto is_abandoned = [&](const rollout_group& group) {
        return std::any_of(earlier_changes.begin(), earlier_changes.end(),
                           [&](const auto& change) { return change.group == group.id; });
    };
    const std::uint32_t min_available =
        settings.desired - std::min(settings.desired, settings.max_unavailable);
    std::uint32_t drains_left =
        counts.available > min_available ? counts.available - min_available : 0;
    for (const auto* group : counts.surplus) {
        if (is_abandoned(*group)) {
            continue;
        }
        if (!is_available(*group)) {
            // An incomplete group is removed only while enough others are available. A
            // member that receives no reports sees every group as incomplete, and the
            // old groups may be the only ones that serve.
            const bool unwanted_start = is_rolling_back && group->state != group_state::serving;
            if (counts.available >= min_available || unwanted_start) {
                changes.push_back(abandon(*group, false, "incomplete and no longer wanted"));
            }
        } else if (drains_left > 0) {
            --drains_left;
            changes.push_back({.kind = rollout_change_kind::drain,
                               .group = group->id,
                               .reason = "replaced by the target version"});
        }
    }
}

} // namespace

state::result<void> check_rollout_settings(const rollout_settings& settings) {
    const auto reject = [](const std::string& text) {
        return state::fail(failure_kind::invalid_settings, text);
    };
    if (settings.max_surge == 0 && settings.max_unavailable == 0) {
        return reject("max_surge and max_unavailable are both 0, so no group could be replaced; "
                      "set one of them to at least 1");
    }
    if (settings.max_unavailable > settings.desired) {
        return reject("max_unavailable is above the number of replicas; set it to at most " +
                      std::to_string(settings.desired));
    }
    if (settings.max_failures == 0) {
        return reject("max_failures is 0, so a roll-out would roll back before it starts; "
                      "set it to at least 1");
    }
    if (settings.load_deadline.count() <= 0) {
        return reject("load_deadline_ms must be above 0, or every group fails at once");
    }
    if (settings.progress_deadline < settings.load_deadline) {
        return reject("progress_deadline_ms is below load_deadline_ms, so a roll-out would roll "
                      "back while its first group loads");
    }
    return {};
}

std::vector<rollout_change> evaluate_rollout(const rollout_view& view,
                                             const rollout_settings& settings,
                                             state::time_point now) {
    std::vector<rollout_change> changes;
    const auto failures = abandon_failed(view, settings, now, changes);
    const auto counts = count_groups(view, settings);

    // Roll back when too many new groups failed or there is no progress. Each failure is
    // counted once: the state changes only after the abandoned groups are written.
    if (view.rollout.state == rollout_state::progressing) {
        if (view.rollout.failed_groups >= settings.max_failures) {
            changes.push_back(change_rollout_state(rollout_state::rolling_back,
                                                   "too many groups failed to load"));
            return changes;
        }
        if (now - view.last_progress > settings.progress_deadline) {
            changes.push_back(
                change_rollout_state(rollout_state::rolling_back, "no progress by the deadline"));
            return changes;
        }
    }

    // Form the missing groups of the target version within the surge limit.
    const auto& target = state::target_version(view.rollout);
    const auto limit = settings.desired + settings.max_surge;
    const auto surge_left = limit > counts.live ? limit - counts.live : 0;
    const auto missing = target.empty() ? 0 : settings.desired - counts.target;
    const auto count = std::min(surge_left, missing);
    // Failures of the new version do not keep groups of the previous one from forming.
    const bool may_form = view.rollout.state != rollout_state::progressing ||
                          view.rollout.failed_groups + failures < settings.max_failures;
    if (count > 0 && may_form) {
        changes.push_back(
            {.kind = rollout_change_kind::form, .model_version = target, .count = count});
    }
    const bool is_rolling_back = view.rollout.state == rollout_state::rolling_back;
    remove_surplus(counts, settings, is_rolling_back, std::vector<rollout_change>(changes),
                   changes);

    // The roll-out ends when only available groups of the target version are left.
    const auto needed = target.empty() ? 0 : settings.desired;
    if (counts.surplus.empty() && counts.leaving == 0 && counts.target_available >= needed) {
        if (view.rollout.state == rollout_state::progressing) {
            changes.push_back(
                change_rollout_state(rollout_state::completed, "every group has the new version"));
        } else if (view.rollout.state == rollout_state::rolling_back) {
            changes.push_back(change_rollout_state(rollout_state::rolled_back,
                                                   "every group has the previous version"));
        }
    }
    return changes;
}

state::rollout_row submit_version(const state::rollout_row& row, const std::string& version) {
    auto next = row;
    if (row.state == rollout_state::completed) {
        next.previous_version = row.version;
    }
    next.version = version;
    next.state = rollout_state::progressing;
    next.failed_groups = 0;
    return next;
}

} // namespace savoryrelay::coordination
