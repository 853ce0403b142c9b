// Structured log lines by Boost.Log. Lines are written for changes of state
// only; everything that repeats is a counter.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace savoryrelay::transport {

/// A field of a log line, written as name=value.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Sends log lines to standard error, with time and severity.
void start_log();

/// Writes an informational line: "event field=value ...".
void log_change(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes a line about something that an operator should look at.
void log_warning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace savoryrelay::transport
