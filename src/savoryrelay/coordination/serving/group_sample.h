// Limits the groups among which one call is placed. Loads reach the other hosts with a
// delay; if each host chose the best of all groups, the hosts would send their calls of that
// time to the same few.
#pragma once

#include "savoryrelay/coordination/serving/fleet_table.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// In fleets of up to this many hosts, calls are placed among all groups.
inline constexpr std::size_t max_unsampled_hosts = 20;
/// Groups of a model that one host uses. Fewer groups need fewer connections.
inline constexpr std::size_t groups_per_host = 16;
/// Groups of the subset that are compared for one call.
inline constexpr std::size_t groups_per_call = 3;

/// Source of random numbers.
using random_hook = std::function<std::uint64_t()>;

/// Returns the heads among which the host places a call: a random few of those that the
/// host uses. Each host uses its own subset, which changes little when heads come and go;
/// heads of `own_zone` are preferred. Returns all heads in a small fleet.
[[nodiscard]] std::vector<const runner_view*>
sample_heads(const std::vector<const runner_view*>& heads, const std::string& own_host,
             const state::availability_zone_id& own_zone, std::size_t host_count,
             const random_hook& random);

} // namespace savoryrelay::coordination
