// Argument parsing, error output and file access for the commands.
#include "command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace savoryrelay::ctl {

std::optional<argument_map>
parse_arguments(const char* usage, const std::vector<std::string>& arguments, exit_code& code) {
    try {
        return docopt::docopt_parse(usage, arguments, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        code = exit_code::success;
    } catch (const std::runtime_error& error) {
        std::cerr << error.what() << "\n" << usage;
        code = exit_code::usage;
    }
    return std::nullopt;
}

std::optional<std::string> option_of(const argument_map& arguments, const std::string& name) {
    const auto found = arguments.find(name);
    if (found == arguments.end() || !found->second.isString()) {
        return std::nullopt;
    }
    return found->second.asString();
}

exit_code report_failure(const state::failure& failure, exit_code code) {
    std::cerr << "savoryrelayctl: " << failure.message() << "\n";
    return code;
}

state::result<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (std::filesystem::is_directory(path) || !file || !(text << file.rdbuf())) {
        return state::fail(state::failure_kind::not_found, "'" + path + "' cannot be read");
    }
    return text.str();
}

state::result<void> write_file(const std::string& path, const std::string& text) {
    std::error_code ignored;
    std::filesystem::create_directories(std::filesystem::path(path).parent_path(), ignored);
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file) {
        return state::fail(state::failure_kind::not_found, "'" + path + "' cannot be written");
    }
    return {};
}

} // namespace savoryrelay::ctl
