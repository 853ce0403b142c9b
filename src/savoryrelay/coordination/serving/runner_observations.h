// Decides what a host tells the others about the runners that it knows.
#pragma once

#include "savoryrelay/coordination/serving/fleet_table.h"

#include <optional>

namespace savoryrelay::coordination {

/// Returns the observation of a runner as this host knows it.
[[nodiscard]] state::runner_observation make_observation(const runner_view& runner, bool is_silent);

/// Returns what the controller tells the other hosts about a runner at `now`, or nothing. It
/// tells of heads, former heads and silent runners, and of the models of free runners if
/// `includes_free` is set. A host that becomes the controller bases orders on what it was
/// told, and a runner accepts an order with its current sequence. So the group and the
/// sequence of an observation are those of one report.
[[nodiscard]] std::optional<state::runner_observation>
observe_as_controller(const runner_view& runner, bool includes_free, state::time_point now);

} // namespace savoryrelay::coordination
