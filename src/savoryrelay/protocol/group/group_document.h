// The JSON form of the rows of groups, host claims and roll-outs.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/group/group_row.h"
#include "savoryrelay/state/rollout/rollout_row.h"

#include <string>

namespace savoryrelay::protocol {

[[nodiscard]] std::string write_group_row(const state::group_row& row);
/// Fails with `message_damaged` on a missing field, an unknown state, or a
/// number of hosts outside 1 to 16.
[[nodiscard]] state::result<state::group_row> read_group_row(const std::string& text);

[[nodiscard]] std::string write_host_claim(const state::host_claim& claim);
/// Fails with `message_damaged` on a missing field.
[[nodiscard]] state::result<state::host_claim> read_host_claim(const std::string& text);

[[nodiscard]] std::string write_rollout_row(const state::rollout_row& row);
/// Fails with `message_damaged` on a missing field or an unknown state.
[[nodiscard]] state::result<state::rollout_row> read_rollout_row(const std::string& text);

} // namespace savoryrelay::protocol
