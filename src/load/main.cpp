// savoryrelay_load: sends load to a daemon and, in alternating rounds, directly to the
// engine behind it, and prints the measurements and a comparison.
#include "load_run.h"

#include <docopt.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace savoryrelay;

constexpr const char* usage = R"(savoryrelay_load: compares a daemon under load with its engine.

Usage:
  savoryrelay_load --port=N --baseline-port=N [--streams=N] [--requests=N] [--tokens=N]
                   [--rounds=N] [--model=NAME] [--token=TEXT] [--threads=N]
  savoryrelay_load --help

Options:
  --port=N           Port of the daemon on the loopback address.
  --baseline-port=N  Port of the engine for direct requests.
  --streams=N        Concurrent streams [default: 500].
  --requests=N       Sequential requests per stream [default: 4].
  --tokens=N         Tokens per request [default: 64].
  --rounds=N         Alternating rounds of direct and relayed load [default: 3].
  --model=NAME       Model to request [default: gilding].
  --token=TEXT       Bearer token [default: demo-token].
  --threads=N        Socket threads of this tool [default: 2].

Prints two CSV lines per round, one for direct and one for relayed load, and compares
the two in the last round. The exit code is 1 if an answer did not arrive completely.
)";

void print_row(const char* side, const load::load_result& row) {
    std::cout << side << ',' << row.complete << ',' << row.failed << ',' << row.tokens << ','
              << row.seconds << ',' << static_cast<double>(row.tokens) / row.seconds << ','
              << row.first_token_p50_ms << ',' << row.first_token_p95_ms << '\n';
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "");
    const auto number = [&](const char* name) {
        return static_cast<std::uint32_t>(arguments.at(name).asLong());
    };
    load::load_settings settings;
    settings.bearer_token = arguments.at("--token").asString();
    settings.model = arguments.at("--model").asString();
    settings.streams = number("--streams");
    settings.requests_per_stream = number("--requests");
    settings.tokens = number("--tokens");

    // Alternates direct and relayed load, so that both run under the same machine conditions.
    transport::io_threads threads(number("--threads"));
    std::cout << "side,whole,failed,tokens,seconds,tokens_per_second,first_token_p50_ms,"
                 "first_token_p95_ms\n";
    load::load_result direct;
    load::load_result relayed;
    std::uint64_t failed = 0;
    for (std::uint32_t round = 0; round < number("--rounds"); ++round) {
        settings.port = static_cast<std::uint16_t>(number("--baseline-port"));
        direct = load::run_load(threads, settings);
        print_row("direct", direct);
        settings.port = static_cast<std::uint16_t>(number("--port"));
        relayed = load::run_load(threads, settings);
        print_row("relayed", relayed);
        failed += direct.failed + relayed.failed;
    }
    std::cout << "relayed/direct tokens per second: "
              << (static_cast<double>(relayed.tokens) / relayed.seconds) /
                     (static_cast<double>(direct.tokens) / direct.seconds)
              << "\nadded p95 to the first token, ms: "
              << relayed.first_token_p95_ms - direct.first_token_p95_ms << '\n';
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
