// `savoryrelayctl init`: asks the questions on the terminal or reads an answers file,
// and writes the generated files.
#include "init_command.h"

#include "savoryrelay/protocol/questionnaire/questionnaire.h"

#include <filesystem>
#include <iostream>

namespace savoryrelay::ctl {
namespace {

constexpr const char* usage = R"(Generates the settings of each entry host and the configuration.

Usage:
  savoryrelayctl init <folder> [--answers=FILE] [--force]
  savoryrelayctl init --help

Options:
  --answers=FILE  Read the answers from a YAML file instead of asking. Without
                  it the answers are also written to <folder>/answers.yaml.
  --force         Replace existing files.

Exit codes: 0 success, 1 invalid answers, 2 wrong arguments, 3 a file cannot
be read or written.
)";

std::string ask_on_terminal(const std::string& question, const std::string& default_answer) {
    std::cout << question;
    if (!default_answer.empty()) {
        std::cout << " [" << default_answer << "]";
    }
    std::cout << ": " << std::flush;
    std::string line;
    if (!std::getline(std::cin, line) || line.empty()) {
        return default_answer;
    }
    return line;
}

state::result<void> write_files(const std::string& folder,
                                const std::vector<protocol::generated_file>& files, bool force) {
    // Check all paths before writing the first file.
    for (const auto& file : files) {
        const auto path = folder + "/" + file.name;
        if (!force && std::filesystem::exists(path)) {
            return state::fail(state::failure_kind::invalid_request,
                               "'" + path + "' already exists; use --force to replace it");
        }
    }
    for (const auto& file : files) {
        BOOST_LEAF_CHECK(write_file(folder + "/" + file.name, file.text));
        std::cout << "wrote " << folder << "/" << file.name << "\n";
    }
    return {};
}

} // namespace

exit_code run_init(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto folder = parsed->at("<folder>").asString();
    const auto answers_file = option_of(*parsed, "--answers");

    // Read the answers from the file or the terminal.
    std::string text;
    if (answers_file) {
        const auto read = state::collect([&] { return read_file(*answers_file); });
        if (!read) {
            return report_failure(read.error(), exit_code::unreadable);
        }
        text = read.value();
    } else {
        text = protocol::ask_answers(ask_on_terminal);
    }

    auto files = state::collect([&]() -> state::result<std::vector<protocol::generated_file>> {
        BOOST_LEAF_AUTO(answers, protocol::read_answers(text));
        return protocol::generate_files(answers, protocol::default_questionnaire_hooks());
    });
    if (!files) {
        return report_failure(files.error(), exit_code::defect);
    }
    if (!answers_file) {
        files.value().push_back({"answers.yaml", text});
    }
    const auto written = state::collect(
        [&] { return write_files(folder, files.value(), parsed->at("--force").asBool()); });
    return written ? exit_code::success : report_failure(written.error(), exit_code::unreadable);
}

} // namespace savoryrelay::ctl
