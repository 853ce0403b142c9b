// Time types. Decisions receive the present time as an argument; only the
// transport layer and the programs read a clock.
#pragma once

#include <chrono>

namespace savoryrelay::state {

/// Monotonic time of one process. Values of different processes are never compared.
using time_point = std::chrono::steady_clock::time_point;

/// Time spans as settings and messages give them.
using milliseconds = std::chrono::milliseconds;

/// Civil time for the record, in milliseconds since 1970-01-01 UTC.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace savoryrelay::state
