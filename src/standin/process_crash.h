// Ends of connections and of the process as a peer sees them after a crash.
#pragma once

namespace savoryrelay::standin {

/// Resets all TCP connections of the process. Its listeners stay open, and the sockets of
/// the connections fail with their next operation.
void reset_connections();

/// Resets all TCP connections and ends the process at once.
[[noreturn]] void crash_process();

} // namespace savoryrelay::standin
