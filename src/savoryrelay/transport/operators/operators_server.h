// The operators' HTTP interface. It uses the cxxtools HTTP server, which buffers each
// answer as a whole and therefore cannot serve streams.
#pragma once

#include "savoryrelay/protocol/operators/operator_messages.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// Submits a document if `expected` is the current revision. Returns the new
/// revision. Fails with `revision_conflict`, whose detail names the operator of the
/// current revision, with `invalid_configuration`, or with `store_result_unknown`.
/// May block.
using submit_configuration_hook = std::function<state::result<std::uint64_t>(
    const std::string& document, std::uint64_t expected, const std::string& operator_name,
    state::time_point now)>;

/// A change that an operator requested, and its result.
struct operator_change {
    std::string operator_name;
    std::string action;              ///< "submit", "drain" or "return"
    std::string subject;             ///< what is drained or returned; empty for a document
    std::uint64_t from_revision = 0; ///< 0 if unknown
    std::uint64_t to_revision = 0;   ///< 0 if not accepted
    std::optional<state::failure> failure;
};

/// Hooks through which the interface reads and changes the process. They run on the
/// server's threads and may block.
struct operator_hooks {
    std::function<protocol::daemon_status()> status;
    /// Returns the given revision, or the current one. Fails with `not_found`.
    std::function<state::result<protocol::configuration_revision>(
        std::optional<std::uint64_t> revision)>
        read_configuration;
    submit_configuration_hook submit;
    /// Called once for each requested change, whether it was accepted or not.
    std::function<void(const operator_change&)> changed;
    std::function<state::time_point()> now;
};

/// The parts of an HTTP request that the interface uses.
struct operator_request {
    std::string method;
    std::string path;
    std::string query;         ///< without '?'
    std::string operator_name; ///< value of the header Savoryrelay-Operator
    std::string body;
};

/// An answer with a JSON body.
struct operator_answer {
    unsigned status = 200;
    std::string body;
};

/// Answers one request. Needs no socket, so tests call it directly.
[[nodiscard]] operator_answer answer_operator_request(const operator_request& request,
                                                      const operator_hooks& hooks);

/// Largest request body that the server reads.
inline constexpr std::size_t max_operator_body_bytes = std::size_t{4} * 1024 * 1024;

/// Listens on one address and answers requests on its own threads.
class operators_server {
public:
    /// Throws `std::runtime_error` if the address cannot be bound. `port` must not be
    /// 0, because cxxtools does not report which port it selected.
    operators_server(const std::string& address, std::uint16_t port, operator_hooks hooks);
    /// Waits for the requests in progress, then ends the threads.
    ~operators_server();
    operators_server(const operators_server&) = delete;
    operators_server& operator=(const operators_server&) = delete;

private:
    struct implementation; // keeps cxxtools out of this header
    std::unique_ptr<implementation> m_implementation;
};

} // namespace savoryrelay::transport
