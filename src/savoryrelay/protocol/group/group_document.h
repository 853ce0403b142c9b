// Encodes and decodes the JSON of group rows, host claims and roll-outs.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/group/group_row.h"
#include "savoryrelay/state/rollout/rollout_row.h"

#include <string>

namespace savoryrelay::protocol {

/// Encodes a group row.
[[nodiscard]] std::string encode_group_row(const state::group_row& row);
/// Decodes a group row. Fails with `message_damaged` on a missing field, an unknown state,
/// a repeated host, or a number of hosts outside 1 to 16.
[[nodiscard]] state::result<state::group_row> decode_group_row(const std::string& text);

/// Encodes a host claim.
[[nodiscard]] std::string encode_host_claim(const state::host_claim& claim);
/// Decodes a host claim. Fails with `message_damaged` on a missing field.
[[nodiscard]] state::result<state::host_claim> decode_host_claim(const std::string& text);

/// Encodes a roll-out row.
[[nodiscard]] std::string encode_rollout_row(const state::rollout_row& row);
/// Decodes a roll-out row. Fails with `message_damaged` on a missing field or an unknown
/// state.
[[nodiscard]] state::result<state::rollout_row> decode_rollout_row(const std::string& text);

} // namespace savoryrelay::protocol
