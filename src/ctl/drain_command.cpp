// `savoryrelayctl drain` and `return`: take endpoints and availability zones out of
// service and bring them back.
#include "drain_command.h"

#include "daemon_client.h"

#include "savoryrelay/protocol/operators/operator_messages.h"

#include <iostream>

namespace savoryrelay::ctl {
namespace {

constexpr const char* drain_usage = R"(Takes an endpoint or an availability zone out of service.

Usage:
  savoryrelayctl drain (endpoint|availability_zone) <id> --daemon=ADDRESS:PORT [options]
  savoryrelayctl drain --help

Once the new revision is in force, the target receives no new work; work in
flight is finished. The command sets a flag in the configuration document and
removes the comments of the document.

Options:
  --daemon=ADDRESS:PORT  The operator address of any daemon.
  --operator=NAME        Name of the operator; default: environment variable USER.
  --json                 Print the answer as JSON.

Exit codes: 0 accepted, 1 refused, 2 wrong arguments, 3 the daemon or the store
cannot be reached, 4 another operator's revision came first, 5 the change may
have taken effect.
)";

constexpr const char* return_usage =
    R"(Brings an endpoint or an availability zone back into service.

Usage:
  savoryrelayctl return (endpoint|availability_zone) <id> --daemon=ADDRESS:PORT [options]
  savoryrelayctl return --help

Options:
  --daemon=ADDRESS:PORT  The operator address of any daemon.
  --operator=NAME        Name of the operator; default: environment variable USER.
  --json                 Print the answer as JSON.

Exit codes: 0 accepted, 1 refused, 2 wrong arguments, 3 the daemon or the store
cannot be reached, 4 another operator's revision came first, 5 the change may
have taken effect.
)";

exit_code send_drain_change(const char* usage, const std::string& path,
                            const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto target = parsed->at("endpoint").asBool() ? protocol::drain_target::endpoint
                                                        : protocol::drain_target::availability_zone;
    const auto id = parsed->at("<id>").asString();
    std::string answer;
    const auto revision = state::collect([&]() -> state::result<std::uint64_t> {
        BOOST_LEAF_ASSIGN(answer,
                          exchange_with_daemon(parsed->at("--daemon").asString(),
                                               {"POST", path, operator_name_of(*parsed),
                                                protocol::encode_drain_request({target, id})}));
        return protocol::decode_accepted_revision(answer);
    });
    if (!revision) {
        return report_failure(revision.error(), exit_code_of(revision.error()));
    }
    if (parsed->at("--json").asBool()) {
        std::cout << answer << "\n";
    } else {
        std::cout << "accepted as revision " << revision.value() << "\n";
    }
    return exit_code::success;
}

} // namespace

exit_code run_drain(const std::vector<std::string>& arguments) {
    return send_drain_change(drain_usage, "/drain", arguments);
}

exit_code run_return(const std::vector<std::string>& arguments) {
    return send_drain_change(return_usage, "/return", arguments);
}

} // namespace savoryrelay::ctl
