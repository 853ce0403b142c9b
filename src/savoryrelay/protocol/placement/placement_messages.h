// Encodes and decodes the question where a call would go, and its answer.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/serving/placement_report.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Path of the question on the metrics address of an entry host.
inline constexpr std::string_view placement_path = "/placement";

/// Returns the target (path and query) that asks for the placement of `call`.
[[nodiscard]] std::string encode_placement_query(const state::serving_call& call);
/// Decodes a target made by `encode_placement_query`. Fails with `invalid_request` when a
/// parameter is unknown, repeated or no number, or when `host` or `path` is missing.
[[nodiscard]] state::result<state::serving_call> decode_placement_query(std::string_view target);
/// Encodes the answer as a JSON object.
[[nodiscard]] std::string encode_placement(const state::placement_report& report);

} // namespace savoryrelay::protocol
