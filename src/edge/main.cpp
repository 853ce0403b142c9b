// savoryrelay_edge: an entry host. The platform keeps all durable state.
#include "edge.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/settings_file.h"

#include <docopt.h>

#include <malloc.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace savoryrelay;

constexpr const char* usage = R"(savoryrelay_edge: an entry host on the platform.

Usage:
  savoryrelay_edge --settings=FILE [--check]
  savoryrelay_edge --help
  savoryrelay_edge --version

Options:
  --settings=FILE  YAML settings; docs/settings.md lists them.
  --check          Validate the settings and exit.

SIGTERM and SIGINT finish the open calls and end the process.
Exit codes: 0 success, 1 could not start, 2 invalid settings.
)";

constexpr int exit_cannot_start = 1;
constexpr int exit_invalid_settings = 2;

state::result<protocol::edge_settings> load_settings(const std::string& path) {
    BOOST_LEAF_AUTO(text, transport::read_settings_file(path));
    return protocol::read_edge_settings(text);
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, "savoryrelay_edge 0.1.0");
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

    if (settings.value().memory_mb > 0) {
        // Larger blocks return to the system when they are freed.
        constexpr int mapped_block_bytes = 128 * 1024;
        ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    }
    // Signals are blocked before any thread starts, so that all threads inherit the mask.
    transport::process_signals signals;
    transport::start_log();
    try {
        edge::edge_host host(settings.value());
        host.start();
        host.run(signals);
    } catch (const std::exception& error) {
        transport::stop_log();
        std::cerr << "cannot start: " << error.what()
                  << "; free the address or change it in the settings\n";
        return exit_cannot_start;
    }
    transport::stop_log();
    return EXIT_SUCCESS;
}
