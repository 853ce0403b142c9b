// savoryrelayctl: looks up the command by name in a table and runs it.
#include "audit_command.h"
#include "command.h"
#include "configuration_command.h"
#include "drain_command.h"
#include "explain_command.h"
#include "init_command.h"
#include "placement_command.h"
#include "status_command.h"

#include <algorithm>
#include <array>
#include <iostream>

using namespace savoryrelay::ctl;

namespace {

struct command_row {
    std::string_view name;
    std::string_view summary;
    command_handler run;
};

const std::array commands{
    command_row{"audit", "list, show, verify or export a record", run_audit},
    command_row{"configuration", "show, submit or compare a configuration", run_configuration},
    command_row{"drain", "take an endpoint or an availability zone out of service", run_drain},
    command_row{"explain", "explain the outcome of a request from logs", run_explain},
    command_row{"init", "generate settings and configuration from answers", run_init},
    command_row{"placement", "show where a host would send a call now, without sending it",
                run_placement},
    command_row{"return", "bring an endpoint or an availability zone back", run_return},
    command_row{"status", "show members, endpoints and open requests", run_status},
};

void print_commands(std::ostream& out) {
    out << "Usage: savoryrelayctl <command> [<arguments>...]\n\nCommands:\n";
    for (const auto& command : commands) {
        out << "  " << command.name << ": " << command.summary << "\n";
    }
    out << "\n`savoryrelayctl <command> --help` describes a command.\n"
           "Exit codes: 0 success, 1 findings or invalid input, 2 wrong arguments, 3 a file or "
           "service cannot be read or written, 4 another operator's revision came first, 5 the "
           "change may have taken effect.\n";
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool wants_help =
        !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h");
    if (wants_help) {
        print_commands(std::cout);
        return static_cast<int>(exit_code::success);
    }
    const auto* command = std::find_if(commands.begin(), commands.end(), [&](const auto& row) {
        return !arguments.empty() && row.name == arguments[0];
    });
    if (command == commands.end()) {
        print_commands(std::cerr);
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(command->run(arguments));
}
