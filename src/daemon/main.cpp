// Entry point of savoryrelayd, the daemon of an entry host.
#include "daemon.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/settings_file.h"

#include <docopt.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace savoryrelay;

constexpr const char* usage = R"(savoryrelayd: the daemon of an entry host.

Usage:
  savoryrelayd --settings=FILE [--check]
  savoryrelayd --help
  savoryrelayd --version

Options:
  --settings=FILE  YAML settings; docs/settings.md lists them.
  --check          Validate the settings and exit.

SIGTERM and SIGINT finish the open requests and end the daemon.
Exit codes: 0 success, 1 could not start, 2 invalid settings.
)";

constexpr int exit_cannot_start = 1;
constexpr int exit_invalid_settings = 2;

state::result<protocol::daemon_settings> load_settings(const std::string& path) {
    BOOST_LEAF_AUTO(text, transport::read_settings_file(path));
    return protocol::read_daemon_settings(text);
}

std::string make_incarnation(const protocol::daemon_settings& settings) {
    std::random_device random;
    std::ostringstream text;
    text << settings.member.value() << '-' << std::hex << random() << random();
    return text.str();
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, "savoryrelayd 0.1.0");
    const auto settings =
        state::collect([&] { return load_settings(arguments.at("--settings").asString()); });
    if (!settings) {
        std::cerr << settings.error().message() << '\n';
        return exit_invalid_settings;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }

    // Blocks the signals before any thread starts, because threads inherit the mask.
    transport::process_signals signals;
    transport::start_log();
    daemon::relay_daemon relay(settings.value(), make_incarnation(settings.value()));
    const auto started = state::collect([&] { return relay.start(); });
    if (!started) {
        std::cerr << started.error().message() << '\n';
        return exit_cannot_start;
    }
    relay.run(signals);
    transport::stop_log();
    return EXIT_SUCCESS;
}
