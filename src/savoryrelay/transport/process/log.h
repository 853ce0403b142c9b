// Writes structured log lines with Boost.Log to standard output: "TIME level=LEVEL
// event=EVENT field=value ...". The process logs one line for each decision that
// affects a request or changes the process's state. Recurring events are metrics instead.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace savoryrelay::transport {

/// A field of a log line, written as name=value. A value that contains spaces,
/// quotes or line breaks is quoted.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Starts the thread that writes log lines to standard output. Logging never blocks.
/// Lines are dropped and counted while the bounded queue is full or the reader of the
/// output is stalled; a line `event=log_dropped` reports the count as soon as the
/// output accepts lines again.
void start_log();

/// Writes the queued lines as far as the reader accepts them, and ends the thread.
void stop_log();

/// Returns the number of lines dropped since the start.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Writes an informational line: "event field=value ...".
void log_info(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes a line about a condition that an operator should examine.
void log_warning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace savoryrelay::transport
