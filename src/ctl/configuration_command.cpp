// `savoryrelayctl configuration`: implements show, submit and diff.
#include "configuration_command.h"

#include "daemon_client.h"

#include "savoryrelay/protocol/operators/operator_messages.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace savoryrelay::ctl {
namespace {

constexpr const char* usage = R"(Shows, submits or compares a configuration.

Usage:
  savoryrelayctl configuration show --daemon=ADDRESS:PORT [--revision=N] [--json]
  savoryrelayctl configuration submit <file> --expected=N --daemon=ADDRESS:PORT
                 [--operator=NAME] [--json]
  savoryrelayctl configuration diff <file> --daemon=ADDRESS:PORT [--revision=N]
  savoryrelayctl configuration --help

  show    Prints the current document, and its revision to standard error.
  submit  Replaces revision N with the document in the file.
  diff    Prints the lines that differ between the document and the file.

Options:
  --daemon=ADDRESS:PORT  The operator address of any daemon.
  --revision=N           Use an earlier revision instead of the current one.
  --expected=N           The revision that the file replaces; 0 for the first one.
  --operator=NAME        Name of the operator; default: environment variable USER.
  --json                 Print the answer as JSON.

Exit codes: 0 success (diff: equal), 1 refused (diff: different), 2 wrong
arguments, 3 a file, the daemon or the store cannot be reached, 4 another
operator's revision came first, 5 the change may have taken effect.
)";

using lines = std::vector<std::string>;

lines split_lines(const std::string& text) {
    lines list;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        list.push_back(std::move(line));
    }
    return list;
}

// Limits the memory of the table of common subsequence lengths. Above this size,
// all differing lines are printed as removed and added.
constexpr std::size_t max_table_cells = 25'000'000;

// Prints the differences between `left` and `right` by their longest common subsequence.
void print_line_diff(const lines& left, const lines& right) {
    const std::size_t width = right.size() + 1;
    const bool fits = (left.size() + 1) <= max_table_cells / width;
    std::vector<std::uint32_t> common_lengths(fits ? (left.size() + 1) * width : 0);
    for (std::size_t i = left.size(); fits && i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;) {
            common_lengths[i * width + j] = left[i] == right[j]
                                                ? common_lengths[(i + 1) * width + j + 1] + 1
                                                : std::max(common_lengths[(i + 1) * width + j],
                                                           common_lengths[i * width + j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (fits && i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (i < left.size() &&
                   (!fits || j == right.size() ||
                    common_lengths[(i + 1) * width + j] >= common_lengths[i * width + j + 1])) {
            std::cout << "- " << left[i++] << "\n";
        } else {
            std::cout << "+ " << right[j++] << "\n";
        }
    }
}

exit_code print_difference(const std::string& current, const std::string& candidate) {
    auto left = split_lines(current);
    auto right = split_lines(candidate);
    const auto first = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    left.erase(left.begin(), first.first);
    right.erase(right.begin(), first.second);
    const auto last = std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
    left.erase(last.first.base(), left.end());
    right.erase(last.second.base(), right.end());
    print_line_diff(left, right);
    return left.empty() && right.empty() ? exit_code::success : exit_code::defect;
}

exit_code show(const argument_map& arguments, const std::string& answer,
               const protocol::configuration_revision& revision) {
    if (arguments.at("--json").asBool()) {
        std::cout << answer << "\n";
        return exit_code::success;
    }
    std::cerr << "revision " << revision.revision
              << (revision.operator_name.empty() ? "" : " by " + revision.operator_name) << "\n";
    std::cout << revision.document;
    return exit_code::success;
}

exit_code submit(const argument_map& arguments, const std::string& document) {
    std::string answer;
    const auto revision = state::collect([&]() -> state::result<std::uint64_t> {
        BOOST_LEAF_ASSIGN(
            answer, exchange_with_daemon(
                        arguments.at("--daemon").asString(),
                        {"PUT", "/configuration?expected=" + arguments.at("--expected").asString(),
                         operator_name_of(arguments), document}));
        return protocol::decode_accepted_revision(answer);
    });
    if (!revision) {
        return report_failure(revision.error(), exit_code_of(revision.error()));
    }
    if (arguments.at("--json").asBool()) {
        std::cout << answer << "\n";
    } else {
        std::cout << "accepted as revision " << revision.value() << "\n";
    }
    return exit_code::success;
}

} // namespace

exit_code run_configuration(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    std::string document;
    if (!parsed->at("show").asBool()) {
        const auto read =
            state::collect([&] { return read_file(parsed->at("<file>").asString()); });
        if (!read) {
            return report_failure(read.error(), exit_code::unreadable);
        }
        document = read.value();
    }
    if (parsed->at("submit").asBool()) {
        return submit(*parsed, document);
    }
    const auto requested_revision = option_of(*parsed, "--revision");
    std::string answer;
    const auto revision = state::collect([&]() -> state::result<protocol::configuration_revision> {
        BOOST_LEAF_ASSIGN(answer, exchange_with_daemon(
                                      parsed->at("--daemon").asString(),
                                      {"GET",
                                       requested_revision ? "/configuration/" + *requested_revision
                                                          : "/configuration",
                                       {},
                                       {}}));
        return protocol::decode_configuration_revision(answer);
    });
    if (!revision) {
        return report_failure(revision.error(), exit_code_of(revision.error()));
    }
    return parsed->at("show").asBool() ? show(*parsed, answer, revision.value())
                                       : print_difference(revision.value().document, document);
}

} // namespace savoryrelay::ctl
