// The row of a deployment's roll-out in the platform's table.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>
#include <string>

namespace savoryrelay::state {

/// The states of a roll-out.
enum class rollout_state {
    progressing,  ///< groups of the new version replace the old ones
    completed,    ///< every group has the new version
    rolling_back, ///< groups of the previous version replace the new ones
    rolled_back,  ///< every group has the previous version again
};

template <>
struct enum_table<rollout_state> {
    static constexpr std::array rows{
        enum_name<rollout_state>{rollout_state::progressing, "progressing"},
        enum_name<rollout_state>{rollout_state::completed, "completed"},
        enum_name<rollout_state>{rollout_state::rolling_back, "rolling_back"},
        enum_name<rollout_state>{rollout_state::rolled_back, "rolled_back"},
    };
};

/// A new version may be submitted in every state.
template <>
struct transition_table<rollout_state> {
    using s = rollout_state;
    static constexpr std::array rows{
        transition<s>{s::progressing, s::completed},
        transition<s>{s::progressing, s::rolling_back},
        transition<s>{s::rolling_back, s::rolled_back},
        transition<s>{s::completed, s::progressing},
        transition<s>{s::rolling_back, s::progressing},
        transition<s>{s::rolled_back, s::progressing},
    };
};

/// The row `rollout/<deployment>`.
struct rollout_row {
    deployment_id deployment;
    /// The last completed version before `version`; empty when there is none.
    std::string previous_version;
    std::string version; ///< the last submitted version
    rollout_state state = rollout_state::progressing;
    std::uint32_t failed_groups = 0; ///< groups of `version` that failed to load
};

/// Returns the version that the roll-out is converging to.
[[nodiscard]] inline const std::string& target_version(const rollout_row& row) {
    const bool is_rollback =
        row.state == rollout_state::rolling_back || row.state == rollout_state::rolled_back;
    return is_rollback ? row.previous_version : row.version;
}

} // namespace savoryrelay::state
