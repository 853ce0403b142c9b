// Rolling update with a budget over whole groups.
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

rollout_change turn(rollout_state next, std::string reason) {
    return {.kind = rollout_change_kind::turn, .next = next, .reason = std::move(reason)};
}

/// Groups by their part in the roll-out, without those abandoned in this step.
struct tally {
    std::uint32_t live = 0; ///< every group that still holds hosts
    std::uint32_t available = 0;
    std::uint32_t target = 0; ///< of the target version and not leaving
    std::uint32_t target_available = 0;
    std::uint32_t leaving = 0;
    std::vector<const rollout_group*> surplus; ///< of another version and not leaving
};

tally count_groups(const rollout_view& view, const rollout_settings& settings) {
    tally sum;
    const auto& wanted = state::target_version(view.rollout);
    for (const auto& group : view.groups) {
        if (group.state == group_state::dissolved) {
            continue;
        }
        ++sum.live;
        sum.available += is_available(group) ? 1 : 0;
        if (is_leaving(group)) {
            ++sum.leaving;
        } else if (group.model_version == wanted && !wanted.empty() &&
                   sum.target < settings.desired) {
            ++sum.target;
            sum.target_available += is_available(group) ? 1 : 0;
        } else {
            sum.surplus.push_back(&group);
        }
    }
    return sum;
}

/// Drops groups that failed to load. Returns how many of them were of the
/// version that is being rolled out.
std::uint32_t abandon_failed(const rollout_view& view, const rollout_settings& settings,
                             state::time_point now, std::vector<rollout_change>& changes) {
    std::uint32_t failures = 0;
    for (const auto& group : view.groups) {
        if (has_failed(group, settings, now)) {
            const bool counts = view.rollout.state == rollout_state::progressing &&
                                group.model_version == view.rollout.version;
            failures += counts ? 1 : 0;
            changes.push_back(abandon(group, counts, "not serving by the load deadline"));
        }
    }
    return failures;
}

void remove_surplus(const tally& sum, const rollout_settings& settings, bool going_back,
                    const std::vector<rollout_change>& made, std::vector<rollout_change>& changes) {
    const auto is_abandoned = [&](const rollout_group& group) {
        return std::any_of(made.begin(), made.end(),
                           [&](const auto& change) { return change.group == group.id; });
    };
    const std::uint32_t least =
        settings.desired - std::min(settings.desired, settings.max_unavailable);
    std::uint32_t may_drain = sum.available > least ? sum.available - least : 0;
    for (const auto* group : sum.surplus) {
        if (is_abandoned(*group)) {
            continue;
        }
        if (!is_available(*group)) {
            // An incomplete group is removed only while enough others are
            // available: when a member loses sight of all engines, every group
            // looks incomplete, and the old ones may be all that serves.
            const bool unwanted_start = going_back && group->state != group_state::serving;
            if (sum.available >= least || unwanted_start) {
                changes.push_back(abandon(*group, false, "incomplete and no longer wanted"));
            }
        } else if (may_drain > 0) {
            --may_drain;
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
        return reject("max_failures is 0, so a roll-out would turn back before it starts; "
                      "set it to at least 1");
    }
    if (settings.load_deadline.count() <= 0) {
        return reject("load_deadline_ms must be above 0, or every group fails at once");
    }
    if (settings.progress_deadline < settings.load_deadline) {
        return reject("progress_deadline_ms is below load_deadline_ms, so a roll-out would turn "
                      "back while its first group loads");
    }
    return {};
}

std::vector<rollout_change> evaluate_rollout(const rollout_view& view,
                                             const rollout_settings& settings,
                                             state::time_point now) {
    std::vector<rollout_change> changes;
    const auto failures = abandon_failed(view, settings, now, changes);
    const auto sum = count_groups(view, settings);

    // Turn back when too many new groups failed or nothing moves. A failure is
    // counted once: the state change waits until the abandoned groups are written.
    if (view.rollout.state == rollout_state::progressing) {
        if (view.rollout.failed_groups >= settings.max_failures) {
            changes.push_back(turn(rollout_state::rolling_back, "too many groups failed to load"));
            return changes;
        }
        if (now - view.last_progress > settings.progress_deadline) {
            changes.push_back(turn(rollout_state::rolling_back, "no progress by the deadline"));
            return changes;
        }
    }

    // Form what is missing of the target version, within the surge.
    const auto& wanted = state::target_version(view.rollout);
    const auto limit = settings.desired + settings.max_surge;
    const auto room = limit > sum.live ? limit - sum.live : 0;
    const auto missing = wanted.empty() ? 0 : settings.desired - sum.target;
    const auto count = std::min(room, missing);
    // Failures of the new version do not stop the previous one from coming back.
    const bool may_form = view.rollout.state != rollout_state::progressing ||
                          view.rollout.failed_groups + failures < settings.max_failures;
    if (count > 0 && may_form) {
        changes.push_back(
            {.kind = rollout_change_kind::form, .model_version = wanted, .count = count});
    }
    const bool going_back = view.rollout.state == rollout_state::rolling_back;
    remove_surplus(sum, settings, going_back, std::vector<rollout_change>(changes), changes);

    // End when nothing but available groups of the target version is left.
    const auto needed = wanted.empty() ? 0 : settings.desired;
    if (sum.surplus.empty() && sum.leaving == 0 && sum.target_available >= needed) {
        if (view.rollout.state == rollout_state::progressing) {
            changes.push_back(turn(rollout_state::completed, "every group has the new version"));
        } else if (view.rollout.state == rollout_state::rolling_back) {
            changes.push_back(
                turn(rollout_state::rolled_back, "every group has the previous version"));
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
