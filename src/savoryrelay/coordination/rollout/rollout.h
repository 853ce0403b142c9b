// Decides the next steps of a roll-out over whole groups. The evaluator is a
// pure function; `group_controller` carries out what it returns.
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
    std::uint32_t desired = 1;         ///< groups
    std::uint32_t max_surge = 1;       ///< groups above `desired`
    std::uint32_t max_unavailable = 0; ///< groups below `desired`, at most `desired`
    std::uint32_t max_failures = 3;    ///< failed groups after which the roll-out turns back, >= 1
    state::milliseconds load_deadline{900'000}; ///< a group that is not serving by then failed
    state::milliseconds progress_deadline{3'600'000}; ///< >= load_deadline
};

/// Fails with `invalid_settings`, naming the setting, when a roll-out under
/// them cannot progress.
[[nodiscard]] state::result<void> check_rollout_settings(const rollout_settings& settings);

/// A group as the evaluator sees it.
struct rollout_group {
    state::group_id id;
    std::string model_version;
    state::group_state state = state::group_state::forming;
    bool complete = false;           ///< by the engines' reports
    state::time_point state_since{}; ///< when the deciding member first saw the state
};

/// Everything the evaluator sees.
struct rollout_view {
    state::rollout_row rollout;
    std::vector<rollout_group> groups; ///< all groups of the deployment
    state::time_point last_progress{}; ///< when the deciding member last saw progress
};

/// The kinds of changes.
enum class rollout_change_kind {
    form,    ///< form `count` groups of `model_version`
    drain,   ///< drain `group`, which serves
    abandon, ///< dissolve `group`, which does not serve
    turn,    ///< change the roll-out's state to `next`
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::rollout_change_kind> {
    using k = savoryrelay::coordination::rollout_change_kind;
    static constexpr std::array rows{
        enum_name<k>{k::form, "form"},
        enum_name<k>{k::drain, "drain"},
        enum_name<k>{k::abandon, "abandon"},
        enum_name<k>{k::turn, "turn"},
    };
};

namespace savoryrelay::coordination {

/// One change. Fields that its kind does not use keep their defaults.
struct rollout_change {
    rollout_change_kind kind = rollout_change_kind::form;
    state::group_id group{};
    std::string model_version{};
    std::uint32_t count = 0;
    bool counts_as_failure = false; ///< an abandoned group of the new version failed to load
    std::optional<state::rollout_state> next{};
    std::string reason{}; ///< for the log and the operators
};

/// The changes to make now. Only serving, complete groups count as available.
/// `drain` never takes the available groups below `desired - max_unavailable`,
/// and `form` never takes all groups above `desired + max_surge`.
[[nodiscard]] std::vector<rollout_change>
evaluate_rollout(const rollout_view& view, const rollout_settings& settings, state::time_point now);

using evaluate_rollout_hook = std::function<std::vector<rollout_change>(
    const rollout_view&, const rollout_settings&, state::time_point)>;

/// The row after operators submit `version`. The previous version is the last
/// one that a roll-out finished with.
[[nodiscard]] state::rollout_row submit_version(const state::rollout_row& row,
                                                const std::string& version);

} // namespace savoryrelay::coordination
