// `savoryrelayctl placement`: prints a host's answer as text or as JSON.
#include "placement_command.h"

#include "daemon_client.h"

#include "savoryrelay/protocol/placement/placement_messages.h"

#include <boost/json.hpp>

#include <charconv>
#include <cmath>
#include <iostream>

namespace savoryrelay::ctl {
namespace {

namespace json = boost::json;
using state::failure_kind;

constexpr const char* usage =
    R"(Shows where an entry host would send a call now, and why, without sending it.

Usage:
  savoryrelayctl placement --daemon=ADDRESS:PORT --host=NAME --path=PATH [options]
  savoryrelayctl placement --help

Options:
  --daemon=ADDRESS:PORT  The metrics address of the entry host.
  --host=NAME            The host name that the call is sent to.
  --path=PATH            The path of the call.
  --key=KEY              The API key of the caller.
  --model=NAME           The model that the call names.
  --prompt-tokens=N      Tokens of the prompt.
  --max-tokens=N         Limit of the answer in tokens.
  --expected-tokens=N    The caller's estimate of the answer in tokens.
  --deadline-ms=N        The caller's longest wait.
  --json                 Print the answer as JSON.

Exit codes: 0 an endpoint would get the call, 1 none would or the answer cannot be
read, 2 wrong arguments, 3 the host cannot be reached.
)";

/// The options that are numbers.
struct number_option {
    const char* name;
    double state::serving_call::*member;
};
constexpr std::array number_options{
    number_option{"--prompt-tokens", &state::serving_call::prompt_tokens},
    number_option{"--max-tokens", &state::serving_call::max_answer_tokens},
    number_option{"--expected-tokens", &state::serving_call::expected_answer_tokens},
};

state::result<std::uint32_t> read_number(const std::string& name, const std::string& text) {
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return state::fail(failure_kind::invalid_request, name + " must be a whole number");
    }
    return number;
}

state::result<state::serving_call> read_call(const argument_map& arguments) {
    state::serving_call call;
    call.host = arguments.at("--host").asString();
    call.path = arguments.at("--path").asString();
    call.key = option_of(arguments, "--key").value_or("");
    call.model = option_of(arguments, "--model").value_or("");
    for (const auto& option : number_options) {
        if (const auto text = option_of(arguments, option.name)) {
            BOOST_LEAF_AUTO(number, read_number(option.name, *text));
            call.*option.member = number;
        }
    }
    if (const auto text = option_of(arguments, "--deadline-ms")) {
        BOOST_LEAF_AUTO(number, read_number("--deadline-ms", *text));
        call.deadline = state::milliseconds(number);
    }
    return call;
}

std::string to_text(const json::value& value) {
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

std::string to_whole(const json::value& value) {
    return std::to_string(std::llround(value.to_number<double>()));
}

void print_service(const json::value& service) {
    std::cout << "service " << to_text(service.at("service")) << " (weight "
              << to_text(service.at("weight")) << "): ";
    const auto endpoint = to_text(service.at("endpoint"));
    if (endpoint.empty()) {
        std::cout << "no endpoint, " << to_text(service.at("failure")) << "\n";
    } else {
        std::cout << "to " << endpoint << ", first event predicted after "
                  << to_whole(service.at("first_event_ms")) << " ms\n";
    }
    for (const auto& row : service.at("candidates").as_array()) {
        std::cout << "  " << to_text(row.at("endpoint")) << " "
                  << to_text(row.at("availability_zone")) << " " << to_text(row.at("verdict"))
                  << ": writing " << to_text(row.at("writing")) << ", waiting "
                  << to_text(row.at("waiting")) << ", slowdown " << to_text(row.at("time_factor"))
                  << ", first event " << to_whole(row.at("first_event_ms")) << " ms, gap "
                  << to_whole(row.at("event_gap_ms")) << " ms\n";
    }
}

/// Prints the answer and returns whether an endpoint would get the call.
bool print_placement(const json::object& report) {
    std::cout << "host " << to_text(report.at("host")) << ", configuration "
              << to_text(report.at("configuration")) << ", route " << to_text(report.at("route"))
              << ", customer " << to_text(report.at("customer")) << "\n";
    if (const auto refusal = to_text(report.at("refusal")); !refusal.empty()) {
        std::cout << "refused: " << refusal << "\n";
        return false;
    }
    bool is_placed = false;
    for (const auto& service : report.at("services").as_array()) {
        print_service(service);
        is_placed = is_placed || !service.at("endpoint").as_string().empty();
    }
    return is_placed;
}

} // namespace

exit_code run_placement(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto answer = state::collect([&]() -> state::result<std::string> {
        BOOST_LEAF_AUTO(call, read_call(*parsed));
        return exchange_with_daemon(parsed->at("--daemon").asString(),
                                    {"GET", protocol::encode_placement_query(call), {}, {}});
    });
    if (!answer) {
        return report_failure(answer.error(), exit_code_of(answer.error()));
    }
    if (parsed->at("--json").asBool()) {
        std::cout << answer.value() << "\n";
        return exit_code::success;
    }
    try {
        return print_placement(json::parse(answer.value()).as_object()) ? exit_code::success
                                                                        : exit_code::defect;
    } catch (const std::exception& error) {
        return report_failure({failure_kind::message_damaged, error.what(), std::nullopt},
                              exit_code::defect);
    }
}

} // namespace savoryrelay::ctl
