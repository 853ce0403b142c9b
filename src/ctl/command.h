// Declarations that all commands of savoryrelayctl use: exit codes, the handler
// type, argument parsing and file access.
#pragma once

#include "savoryrelay/state/core/failure.h"

#include <docopt/docopt.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::ctl {

/// Exit codes of every command.
enum class exit_code {
    success = 0,
    defect = 1,     ///< the record has findings, or the input is invalid
    usage = 2,      ///< wrong arguments
    unreadable = 3, ///< a file or service cannot be read or written
    conflict = 4,   ///< another operator's revision came first
    unknown = 5,    ///< the change may have taken effect
};

/// Runs a command. `arguments` begins with the command name.
using command_handler = std::function<exit_code(const std::vector<std::string>& arguments)>;

/// The parsed arguments, keyed by their docopt names.
using argument_map = std::map<std::string, docopt::value>;

/// Parses `arguments` according to the docopt text `usage`. When help is requested
/// or the arguments do not match, prints the usage, sets `code` to the exit code
/// and returns nothing.
[[nodiscard]] std::optional<argument_map>
parse_arguments(const char* usage, const std::vector<std::string>& arguments, exit_code& code);

/// Returns the value of an option, or nothing when it was not given.
[[nodiscard]] std::optional<std::string> option_of(const argument_map& arguments,
                                                   const std::string& name);

/// Prints a failure with its remedy to standard error and returns `code`.
exit_code report_failure(const state::failure& failure, exit_code code);

/// Returns the content of a file. Fails with `not_found`.
[[nodiscard]] state::result<std::string> read_file(const std::string& path);
/// Writes a file and creates its missing parent folders. Fails with `not_found`
/// when the file cannot be written.
[[nodiscard]] state::result<void> write_file(const std::string& path, const std::string& text);

} // namespace savoryrelay::ctl

template <>
struct savoryrelay::state::enum_table<savoryrelay::ctl::exit_code> {
    using c = savoryrelay::ctl::exit_code;
    static constexpr std::array rows{
        enum_name<c>{c::success, "success"},   enum_name<c>{c::defect, "defect"},
        enum_name<c>{c::usage, "usage"},       enum_name<c>{c::unreadable, "unreadable"},
        enum_name<c>{c::conflict, "conflict"}, enum_name<c>{c::unknown, "unknown"},
    };
};
