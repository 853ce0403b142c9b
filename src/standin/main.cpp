// savoryrelay_standin: small stand-ins for the external systems that savoryrelay
// uses, for experiments and tests.
#include "engine_standin.h"
#include "platform_standin.h"
#include "runner_standin.h"
#include "service_standin.h"
#include "store_standin.h"

#include "savoryrelay/protocol/platform/platform_messages.h"
#include "savoryrelay/transport/process/signals.h"

#include <docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace savoryrelay;

constexpr const char* usage = R"(savoryrelay_standin: stand-ins for experiments and tests.

Usage:
  savoryrelay_standin engine [--address=IP] [--port=N] [--token-ms=N] [--fencing=RULE]
  savoryrelay_standin service [--address=IP] [--port=N]
  savoryrelay_standin platform [--address=IP] [--port=N] [--hosts=FILE]
  savoryrelay_standin store [--address=IP] [--port=N]
  savoryrelay_standin runner --id=ID [--born=MS] [--address=IP] [--port=N] [--token-ms=N]
  savoryrelay_standin --help

Options:
  --address=IP     IP address to listen on [default: 127.0.0.1].
  --port=N         Port to listen on; 0 selects a free port [default: 0].
  --token-ms=N     Milliseconds between tokens [default: 5].
  --fencing=RULE   Handling of old fencing numbers: enforced or ignored [default: ignored].
  --id=ID          Identifier of the runner.
  --born=MS        Start time of the runner, Unix milliseconds [default: 1].
  --hosts=FILE     JSON host list in the format of GET /v1/hosts.

Set faults with POST /control, for example {"delay_ms": 200}.
Prints "listening ADDRESS:PORT" and runs until SIGTERM or SIGINT.
)";

constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "");
    transport::process_signals signals;
    standin::control_switches switches;
    switches.token_ms = static_cast<std::uint32_t>(arguments.at("--token-ms").asLong());

    // Create the stand-ins and select the handler of the requested role.
    standin::engine_settings engine_settings;
    engine_settings.fencing =
        state::from_name<state::fencing_rule>(arguments.at("--fencing").asString())
            .value_or(state::fencing_rule::ignored);
    standin::engine_standin engine(engine_settings, switches);
    standin::service_standin service(switches);
    standin::platform_standin platform(switches);
    standin::store_standin store(switches);
    const auto& runner_id = arguments.at("--id");
    standin::runner_standin runner(switches, runner_id ? runner_id.asString() : std::string{},
                                   static_cast<std::uint64_t>(arguments.at("--born").asLong()));
    if (const auto& hosts = arguments.at("--hosts")) {
        const std::ifstream file(hosts.asString());
        std::ostringstream text;
        text << file.rdbuf();
        const auto read = state::collect([&] { return protocol::decode_hosts(text.str()); });
        if (!read) {
            std::cerr << read.error().message() << '\n';
            return EXIT_FAILURE;
        }
        platform.store().set_hosts(read.value());
    }
    transport::request_handler handler;
    standin::answer_fields_hook refusal_fields;
    if (arguments.at("engine").asBool()) {
        handler = [&](transport::http_request request, transport::response_writer& writer) {
            return engine.handle(std::move(request), writer);
        };
    } else if (arguments.at("service").asBool()) {
        handler = [&](transport::http_request request, transport::response_writer& writer) {
            return service.handle(std::move(request), writer);
        };
    } else if (arguments.at("store").asBool()) {
        handler = [&](transport::http_request request, transport::response_writer& writer) {
            return store.handle(std::move(request), writer);
        };
        refusal_fields = [&] { return store.answer_fields(); };
    } else if (arguments.at("runner").asBool()) {
        handler = [&](transport::http_request request, transport::response_writer& writer) {
            return runner.handle(std::move(request), writer);
        };
    } else {
        handler = [&](transport::http_request request, transport::response_writer& writer) {
            return platform.handle(std::move(request), writer);
        };
    }

    // Serve until a signal asks the process to end. The threads end before the server is
    // destroyed.
    transport::io_threads threads(2);
    transport::http_limits limits;
    limits.body_bytes = max_body_bytes;
    transport::http_server server(
        threads, arguments.at("--address").asString(),
        static_cast<std::uint16_t>(arguments.at("--port").asLong()), limits,
        standin::with_control(switches, std::move(handler), std::move(refusal_fields)));
    std::cout << "listening " << arguments.at("--address").asString() << ':' << server.port()
              << std::endl;
    signals.wait();
    server.stop_accepting();
    threads.stop();
    return 0;
}
