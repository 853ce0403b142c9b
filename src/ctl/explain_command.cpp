// `savoryrelayctl explain`: selects the log lines of a request and the recent lines of
// its endpoints, and derives the cause of the outcome.
#include "explain_command.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <sstream>

namespace savoryrelay::ctl {
namespace {

constexpr const char* usage = R"(savoryrelayctl explain: explains the outcome of a request.

Usage:
  savoryrelayctl explain <request-id> <log>...

The logs are the standard outputs of the entry hosts, in any order. Prints the log
lines of the request, recent earlier lines about its endpoints and their groups,
and the cause in one sentence. Exit codes: 0 found, 1 the logs do not contain the
request, 2 wrong arguments, 3 a log cannot be read.
)";

// Largest number of endpoint lines to print in addition to the lines of the request. Older
// lines say little about the request.
constexpr std::size_t max_context_lines = 8;

/// Returns the value of the field `name` in a log line, or an empty string.
std::string read_log_field(const std::string& line, const std::string& name) {
    const auto position = line.find(" " + name + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + name.size() + 2;
    if (line[begin] == '"') {
        return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Describes the cause of an outcome from the last log line of its request.
std::string describe_cause(const std::string& line) {
    const auto status = read_log_field(line, "status");
    const auto reason = read_log_field(line, "reason");
    const auto endpoint = read_log_field(line, "endpoint");
    if (reason.starts_with("stream_broken")) {
        return "the stream from " + endpoint + " broke off (" + reason.substr(15) +
               ") and could not be resumed on another endpoint; see the lines of that endpoint's "
               "group";
    }
    if (reason == "request_quarantined") {
        return "refused, because calls with the same prompt part or content have crashed "
               "endpoints; the closed_by_endpoint lines with its fingerprints name them";
    }
    if (reason == "all_paused") {
        return "refused, the request has not run (all_paused): every endpoint that could take it "
               "had asked the host for a pause; the runner_excluded lines name them";
    }
    if (status == "503") {
        return "refused, the request has not run (" + reason +
               "): all_full means that every group of its model had a full batch, "
               "none_in_service that no group was in service";
    }
    if (status == "502" || status == "504") {
        return endpoint + " received the request but did not return a complete answer (" + reason +
               "): it may have run; check with the service before repeating it";
    }
    if (status == "401" || status == "404") {
        return "refused by configuration " + read_log_field(line, "configuration") + " (" + reason +
               ")";
    }
    if (reason == "endpoint_failure") {
        return endpoint + " ran the request and answered with status " + status;
    }
    if (reason == "caller_gone") {
        return "the caller closed the connection before the answer was complete";
    }
    return "answered with status " + status + "; first byte after " +
           read_log_field(line, "first_ms") + " ms, predicted " +
           read_log_field(line, "predicted_ms") + " ms";
}

} // namespace

exit_code run_explain(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto id = parsed->at("<request-id>").asString();
    std::vector<std::string> lines;
    for (const auto& path : parsed->at("<log>").asStringList()) {
        const auto text = state::collect([&] { return read_file(path); });
        if (!text) {
            return report_failure(text.error(), exit_code::unreadable);
        }
        std::istringstream stream(text.value());
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(std::move(line));
        }
    }
    std::stable_sort(lines.begin(), lines.end());

    // The lines of the request name its endpoints.
    std::set<std::string> endpoints;
    std::string last_line;
    for (const auto& line : lines) {
        if (read_log_field(line, "id") == id) {
            endpoints.insert(read_log_field(line, "endpoint"));
            last_line = line;
        }
    }
    if (last_line.empty()) {
        std::cerr << "savoryrelayctl: no log line contains request '" << id
                  << "'; pass the logs of all entry hosts for the time of the request\n";
        return exit_code::defect;
    }
    endpoints.erase("");
    std::vector<std::string> related_lines;
    for (const auto& line : lines) {
        if (line > last_line) {
            break;
        }
        if (read_log_field(line, "id") == id ||
            endpoints.contains(read_log_field(line, "runner"))) {
            related_lines.push_back(line);
        }
    }
    const auto request_lines = static_cast<std::size_t>(
        std::count_if(related_lines.begin(), related_lines.end(),
                      [&](const std::string& line) { return read_log_field(line, "id") == id; }));
    const auto max_lines = request_lines + max_context_lines;
    for (auto i = related_lines.size() > max_lines ? related_lines.size() - max_lines : 0;
         i < related_lines.size(); ++i) {
        std::cout << related_lines[i] << '\n';
    }
    std::cout << "cause: " << describe_cause(last_line) << '\n';
    return exit_code::success;
}

} // namespace savoryrelay::ctl
