// The operators' HTTP interface on the cxxtools HTTP server, which buffers each
// answer as a whole and therefore serves nothing that streams.
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

/// Submits a document on condition that `expected` is the present revision.
/// Returns the new revision; fails with `revision_conflict` naming the winner,
/// `invalid_configuration`, or `store_result_unknown`. May block.
using submit_configuration_hook =
    std::function<state::result<std::uint64_t>(const std::string& document, std::uint64_t expected,
                                               const std::string& who, state::time_point now)>;

/// A change that an operator asked for, and what came of it.
struct operator_change {
    std::string operator_name;
    std::string action;              ///< "submit", "drain" or "return"
    std::string subject;             ///< empty for a whole document
    std::uint64_t from_revision = 0; ///< 0: not known
    std::uint64_t to_revision = 0;   ///< 0: not accepted
    std::optional<state::failure> failure;
};

/// What the interface shows and changes. The hooks run on the server's threads
/// and may block.
struct operator_hooks {
    std::function<protocol::daemon_status()> status;
    /// The present revision, or the given one. Fails with `not_found`.
    std::function<state::result<protocol::configuration_revision>(
        std::optional<std::uint64_t> revision)>
        read_configuration;
    submit_configuration_hook submit;
    /// Called once for each change that was asked for, accepted or not.
    std::function<void(const operator_change&)> changed;
    std::function<state::time_point()> now;
};

/// A request as the interface sees it.
struct operator_request {
    std::string method;
    std::string path;
    std::string query;         ///< without '?'
    std::string operator_name; ///< header Savoryrelay-Operator
    std::string body;
};

/// An answer in JSON.
struct operator_answer {
    unsigned status = 200;
    std::string body;
};

/// Answers one request. It needs no socket, so that tests call it directly.
[[nodiscard]] operator_answer answer_operator(const operator_request& request,
                                              const operator_hooks& hooks);

/// Largest body that is read.
inline constexpr std::size_t max_operator_body_bytes = std::size_t{4} * 1024 * 1024;

/// Listens at one address and answers on its own threads.
class operators_server {
public:
    /// Throws `std::runtime_error` when the address cannot be bound. `port`
    /// must not be 0, because cxxtools does not tell which port it took.
    operators_server(const std::string& address, std::uint16_t port, operator_hooks hooks);
    /// Ends the threads after the requests that they are answering.
    ~operators_server();
    operators_server(const operators_server&) = delete;
    operators_server& operator=(const operators_server&) = delete;

private:
    struct implementation; // keeps cxxtools out of this header
    std::unique_ptr<implementation> m_implementation;
};

} // namespace savoryrelay::transport
