// Decides the next changes of a roll-out, which replaces whole groups. The evaluator is
// a pure function; `group_controller` carries out the changes that it returns.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/group/group_row.h"
#include "savoryrelay/state/rollout/rollout_row.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Budget and limits of a roll-out.
struct rollout_settings {
    std::uint32_t desired = 1;         ///< number of groups
    std::uint32_t max_surge = 1;       ///< maximum number of groups above `desired`
    std::uint32_t max_unavailable = 0; ///< maximum number of groups below `desired`, <= `desired`
    std::uint32_t max_failures = 3;    ///< failed groups that cause a roll-back, >= 1
    state::milliseconds load_deadline{900'000};       ///< a group not serving by then has failed
    state::milliseconds progress_deadline{3'600'000}; ///< >= load_deadline
};

/// Fails with `invalid_settings` and names the setting when a roll-out cannot progress
/// under these settings.
[[nodiscard]] state::result<void> check_rollout_settings(const rollout_settings& settings);

/// The evaluator's view of a group.
struct rollout_group {
    state::group_id id;
    std::string model_version;
    state::group_state state = state::group_state::forming;
    bool complete = false;           ///< according to the engines' reports
    state::time_point state_since{}; ///< when the deciding member first saw the state
};

/// The complete input of the evaluator.
struct rollout_view {
    state::rollout_row rollout;
    std::vector<rollout_group> groups; ///< all groups of the deployment
    state::time_point last_progress{}; ///< when the deciding member last saw progress
};

/// The kinds of changes that the evaluator returns.
enum class rollout_change_kind {
    form,                 ///< form `count` groups of `model_version`
    drain,                ///< drain `group`, which serves
    abandon,              ///< dissolve `group`, which does not serve
    change_rollout_state, ///< change the roll-out's state to `next`
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::rollout_change_kind> {
    using k = savoryrelay::coordination::rollout_change_kind;
    static constexpr std::array rows{
        enum_name<k>{k::form, "form"},
        enum_name<k>{k::drain, "drain"},
        enum_name<k>{k::abandon, "abandon"},
        enum_name<k>{k::change_rollout_state, "turn"},
    };
};

namespace savoryrelay::coordination {

/// A change to make. Fields that its kind does not use keep their defaults.
struct rollout_change {
    rollout_change_kind kind = rollout_change_kind::form;
    state::group_id group{};
    std::string model_version{};
    std::uint32_t count = 0;
    bool counts_as_failure = false; ///< `group` has the new version and failed to load
    std::optional<state::rollout_state> next{};
    std::string reason{}; ///< for the log and the operators
};

/// Returns the changes to make now. Only complete groups that serve count as available.
/// `drain` never reduces the available groups below `desired - max_unavailable`, and
/// `form` never raises the number of all groups above `desired + max_surge`.
[[nodiscard]] std::vector<rollout_change>
evaluate_rollout(const rollout_view& view, const rollout_settings& settings, state::time_point now);

using evaluate_rollout_hook = std::function<std::vector<rollout_change>(
    const rollout_view&, const rollout_settings&, state::time_point)>;

/// Returns the row after operators submit `version`. The previous version is the last one
/// that a roll-out completed.
[[nodiscard]] state::rollout_row submit_version(const state::rollout_row& row,
                                                const std::string& version);

} // namespace savoryrelay::coordination
