// Structured log lines by Boost.Log on standard output: "TIME level=LEVEL
// event=EVENT field=value ...". One line for each decision that touches a
// request or changes what the process believes; what only repeats is a counter.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace savoryrelay::transport {

/// A field of a log line, written as name=value, quoted when it has spaces.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sends log lines to standard output by a thread of their own. A line never
/// waits for the reader: beyond a bounded queue, and while the reader does not
/// read, lines are dropped and counted; the count follows in a line
/// `event=log_dropped` as soon as there is room.
void start_log();

/// Writes what is queued, as far as the reader takes it, and ends the thread.
void stop_log();

/// Lines dropped since the start.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Writes an informational line: "event field=value ...".
void log_change(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes a line about something that an operator should look at.
void log_warning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace savoryrelay::transport
