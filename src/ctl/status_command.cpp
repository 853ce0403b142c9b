// The status of a daemon as a table or as JSON.
#include "status_command.h"

#include "daemon_client.h"

#include <boost/json.hpp>

#include <iostream>

namespace savoryrelay::ctl {
namespace {

namespace json = boost::json;

constexpr const char* usage = R"(Shows what a daemon knows of members, endpoints and open requests.

Usage:
  savoryrelayctl status --daemon=ADDRESS:PORT [--json]
  savoryrelayctl status --help

Options:
  --daemon=ADDRESS:PORT  The operators' address of the daemon.
  --json                 The answer as JSON.

Exit codes: 0 success, 1 the answer cannot be read, 2 wrong arguments, 3 the
daemon cannot be reached.
)";

std::string text_of(const json::value& value) {
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

void print_status(const json::object& status) {
    for (const auto* name : {"member", "incarnation", "revision", "open_requests"}) {
        std::cout << name << ": " << text_of(status.at(name)) << "\n";
    }
    std::cout << "members:\n";
    for (const auto& row : status.at("members").as_array()) {
        std::cout << "  " << text_of(row.at("id")) << " " << text_of(row.at("state")) << "\n";
    }
    std::cout << "endpoints:\n";
    for (const auto& row : status.at("endpoints").as_array()) {
        std::cout << "  " << text_of(row.at("id")) << " " << text_of(row.at("deployment")) << " "
                  << text_of(row.at("availability_zone")) << " " << text_of(row.at("phase"))
                  << (row.at("drained").as_bool() ? " drained" : "") << " running "
                  << text_of(row.at("running")) << ", queued " << text_of(row.at("queued"))
                  << ", in flight " << text_of(row.at("in_flight")) << " of "
                  << text_of(row.at("capacity")) << "\n";
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
