// Decides whether a group may receive requests.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/group/group_row.h"

#include <cstdint>
#include <functional>
#include <map>

namespace savoryrelay::coordination {

/// What the engine on one host reports of itself.
struct engine_report {
    state::group_id group;           ///< empty when it belongs to no group
    std::uint64_t generation = 0;    ///< generation it joined
    bool loaded = false;             ///< weights are loaded
    std::uint32_t running = 0;       ///< requests in flight
    state::time_point received_at{}; ///< when this member received the report
};

/// Last report of each host.
using engine_reports = std::map<state::host_id, engine_report>;

/// True when every host of the group reported, at most `max_age` ago, that it
/// has loaded under the group id and generation of the table row. A late order
/// changes what an engine reports, so it stops its group from being routed to.
[[nodiscard]] bool is_complete(const state::group_row& group, const engine_reports& reports,
                               state::time_point now, state::milliseconds max_age);

/// The completeness check of routing and of roll-outs.
using is_complete_hook = std::function<bool(const state::group_row&, const engine_reports&,
                                            state::time_point, state::milliseconds)>;

/// True when the group may receive new requests: it is serving and complete.
[[nodiscard]] bool is_eligible(const state::group_row& group, const engine_reports& reports,
                               state::time_point now, state::milliseconds max_age);

} // namespace savoryrelay::coordination
