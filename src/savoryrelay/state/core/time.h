// Defines the time types. Decisions receive the current time as an argument; only
// the transport layer and the programs read a clock.
#pragma once

#include <chrono>

namespace savoryrelay::state {

/// Monotonic time of one process. Values of different processes are not
/// comparable.
using time_point = std::chrono::steady_clock::time_point;

/// Durations in settings and messages.
using milliseconds = std::chrono::milliseconds;

/// Longest duration that is read from outside. A longer one could overflow a `time_point`.
inline constexpr milliseconds max_duration = std::chrono::hours(365 * 24);

/// Wall-clock time for the record, in milliseconds since 1970-01-01 UTC.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace savoryrelay::state
