// Decides whether a group may receive requests.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/group/group_row.h"

#include <cstdint>
#include <functional>
#include <map>

namespace savoryrelay::coordination {

/// The state that the engine on one host reports.
struct engine_report {
    state::group_id group;           ///< empty when the engine belongs to no group
    std::uint64_t generation = 0;    ///< generation of the group when the engine joined
    bool loaded = false;             ///< the weights are loaded
    std::uint32_t running = 0;       ///< requests in flight
    state::time_point received_at{}; ///< when this member received the report
};

/// The last report of each host's engine.
using engine_reports = std::map<state::host_id, engine_report>;

/// Returns true when each host of the group has reported within `max_age` that its
/// engine has loaded the weights under the group id and generation of the table row.
/// An engine that obeys an outdated order reports another group or generation, so its
/// group receives no requests.
[[nodiscard]] bool is_complete(const state::group_row& group, const engine_reports& reports,
                               state::time_point now, state::milliseconds max_age);

/// The completeness check as a hook; routing and roll-outs use it.
using is_complete_hook = std::function<bool(const state::group_row&, const engine_reports&,
                                            state::time_point, state::milliseconds)>;

/// Returns true when the group may receive new requests: it is serving and complete.
[[nodiscard]] bool is_eligible(const state::group_row& group, const engine_reports& reports,
                               state::time_point now, state::milliseconds max_age);

} // namespace savoryrelay::coordination
