// Implements the client with transport::endpoint_connection, which never repeats a request.
#include "daemon_client.h"

#include "savoryrelay/protocol/operators/operator_messages.h"
#include "savoryrelay/transport/http/endpoint_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <charconv>
#include <cstdlib>

namespace savoryrelay::ctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using state::failure;
using state::failure_kind;

constexpr state::milliseconds connect_timeout{3'000};
// The daemon may make several platform calls for one request and waits up to
// `platform.timeout_ms` for each.
constexpr state::milliseconds answer_timeout{30'000};
constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr unsigned min_error_status = 300;

struct daemon_address {
    std::string address;
    std::uint16_t port = 0;
};

state::result<daemon_address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    daemon_address parsed;
    if (colon != std::string::npos) {
        const auto* end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + colon + 1, end, parsed.port);
        if (result.ec == std::errc{} && result.ptr == end && parsed.port != 0) {
            parsed.address = text.substr(0, colon);
            return parsed;
        }
    }
    return state::fail(failure_kind::invalid_request, "--daemon must be ADDRESS:PORT");
}

asio::awaitable<state::attempt<std::string>>
run_exchange(asio::io_context& context, daemon_address daemon, transport::http_request request) {
    transport::endpoint_connection connection(context);
    if (const auto error =
            co_await connection.connect(daemon.address, daemon.port, connect_timeout)) {
        co_return failure{failure_kind::endpoint_unreachable,
                          "daemon " + daemon.address + ":" + std::to_string(daemon.port) + ": " +
                              error.message(),
                          state::execution_outcome::not_run};
    }
    // Once the request is sent, a change may have taken effect. A read has no effect.
    const failure no_answer =
        request.method() == http::verb::get
            ? failure{failure_kind::endpoint_unreachable, "the daemon did not answer",
                      state::execution_outcome::not_run}
            : failure{failure_kind::store_result_unknown,
                      "the daemon did not answer; show the configuration to see whether the "
                      "change took effect",
                      std::nullopt};
    if (co_await connection.send(request, answer_timeout)) {
        co_return no_answer;
    }
    if (co_await connection.read_header(answer_timeout)) {
        co_return no_answer;
    }
    std::string body;
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto [error, size] =
            co_await connection.read_some(asio::buffer(buffer), answer_timeout);
        if (error || body.size() + size > max_answer_bytes) {
            co_return no_answer;
        }
        if (size == 0) {
            break;
        }
        body.append(buffer.data(), size);
    }
    if (connection.status() >= min_error_status) {
        co_return protocol::decode_operator_failure(body).value_or(
            failure{failure_kind::internal,
                    "the daemon answered with status " + std::to_string(connection.status()),
                    state::execution_outcome::unknown});
    }
    co_return body;
}

} // namespace

state::result<std::string> exchange_with_daemon(const std::string& daemon,
                                                const daemon_request& request) {
    BOOST_LEAF_AUTO(address, parse_address(daemon));
    transport::http_request message{http::string_to_verb(request.method), request.target, 11};
    message.set(http::field::host, daemon);
    message.set(http::field::connection, "close");
    if (!request.operator_name.empty()) {
        message.set("Savoryrelay-Operator", request.operator_name);
    }
    message.body() = request.body;
    message.prepare_payload();
    asio::io_context context(1);
    auto pending_answer = asio::co_spawn(
        context, run_exchange(context, address, std::move(message)), asio::use_future);
    context.run();
    auto answer = pending_answer.get();
    if (!answer) {
        return state::fail(answer.error());
    }
    return std::move(answer.value());
}

exit_code exit_code_of(const state::failure& failure) {
    switch (failure.kind) {
    case failure_kind::invalid_request:
        return exit_code::usage;
    case failure_kind::revision_conflict:
        return exit_code::conflict;
    case failure_kind::store_result_unknown:
        return exit_code::unknown;
    case failure_kind::endpoint_unreachable:
    case failure_kind::store_unavailable:
    case failure_kind::isolated:
        return exit_code::unreadable;
    default:
        return failure.reported_outcome() == state::execution_outcome::unknown ? exit_code::unknown
                                                                               : exit_code::defect;
    }
}

std::string operator_name_of(const argument_map& arguments) {
    if (const auto given = option_of(arguments, "--operator")) {
        return *given;
    }
    const char* user = std::getenv("USER");
    return user == nullptr ? std::string{} : std::string(user);
}

} // namespace savoryrelay::ctl
