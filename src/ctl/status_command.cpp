// `savoryrelayctl status`: prints the status of a daemon as text or as JSON.
#include "status_command.h"

#include "daemon_client.h"

#include <boost/json.hpp>

#include <iostream>

namespace savoryrelay::ctl {
namespace {

namespace json = boost::json;

constexpr const char* usage =
    R"(Shows what a daemon knows about members, endpoints and open requests.

Usage:
  savoryrelayctl status --daemon=ADDRESS:PORT [--json]
  savoryrelayctl status --help

Options:
  --daemon=ADDRESS:PORT  The operator address of the daemon.
  --json                 Print the answer as JSON.

Exit codes: 0 success, 1 the answer cannot be read, 2 wrong arguments, 3 the
daemon cannot be reached.
)";

std::string to_text(const json::value& value) {
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

void print_status(const json::object& status) {
    for (const auto* name : {"member", "incarnation", "revision", "open_requests"}) {
        std::cout << name << ": " << to_text(status.at(name)) << "\n";
    }
    std::cout << "members:\n";
    for (const auto& row : status.at("members").as_array()) {
        std::cout << "  " << to_text(row.at("id")) << " " << to_text(row.at("state")) << "\n";
    }
    std::cout << "endpoints:\n";
    for (const auto& row : status.at("endpoints").as_array()) {
        std::cout << "  " << to_text(row.at("id")) << " " << to_text(row.at("deployment")) << " "
                  << to_text(row.at("availability_zone")) << " " << to_text(row.at("phase"))
                  << (row.at("drained").as_bool() ? " drained" : "") << " running "
                  << to_text(row.at("running")) << ", queued " << to_text(row.at("queued"))
                  << ", in flight " << to_text(row.at("in_flight")) << " of "
                  << to_text(row.at("capacity")) << "\n";
    }
}

} // namespace

exit_code run_status(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto answer = state::collect([&] {
        return exchange_with_daemon(parsed->at("--daemon").asString(), {"GET", "/status", {}, {}});
    });
    if (!answer) {
        return report_failure(answer.error(), exit_code_of(answer.error()));
    }
    if (parsed->at("--json").asBool()) {
        std::cout << answer.value() << "\n";
        return exit_code::success;
    }
    try {
        print_status(json::parse(answer.value()).as_object());
    } catch (const std::exception& error) {
        return report_failure({state::failure_kind::message_damaged, error.what(), std::nullopt},
                              exit_code::defect);
    }
    return exit_code::success;
}

} // namespace savoryrelay::ctl
