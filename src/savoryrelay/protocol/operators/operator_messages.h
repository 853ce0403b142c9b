// JSON messages of the operators' HTTP interface.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"
#include "savoryrelay/state/member/member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// One endpoint as the answering member sees it.
struct endpoint_status {
    state::endpoint_config config;
    state::endpoint_state state;
    bool zone_drained = false;
};

/// One member as the answering member sees it.
struct member_status {
    state::member_id id;
    state::member_state state = state::member_state::alive;
};

/// The answer of GET /status.
struct daemon_status {
    state::member_id member;
    std::string incarnation;
    std::uint64_t revision = 0; ///< in force at the answering member
    std::uint64_t open_requests = 0;
    std::vector<member_status> members;
    std::vector<endpoint_status> endpoints;
};

/// A revision of the configuration with its author.
struct configuration_revision {
    std::uint64_t revision = 0;
    std::string operator_name; ///< empty: not known, for example a first configuration
    std::string document;      ///< YAML
};

/// What a drain or a return acts on.
enum class drain_target { endpoint, availability_zone };

/// The body of POST /drain and POST /return.
struct drain_request {
    drain_target target = drain_target::endpoint;
    std::string id;
};

[[nodiscard]] std::string write_status(const daemon_status& status);
[[nodiscard]] std::string write_configuration_revision(const configuration_revision& revision);
/// Reads what `write_configuration_revision` wrote. Fails with `message_damaged`.
[[nodiscard]] state::result<configuration_revision>
read_configuration_revision(const std::string& text);

/// The answer to an accepted change: the revision that holds it.
[[nodiscard]] std::string write_accepted(std::uint64_t revision);
/// Reads what `write_accepted` wrote. Fails with `message_damaged`.
[[nodiscard]] state::result<std::uint64_t> read_accepted(const std::string& text);

/// The answer to a refused request: kind, message with remedy, outcome.
[[nodiscard]] std::string write_operator_failure(const state::failure& failure);
/// Reads what `write_operator_failure` wrote; nothing when it is another text.
[[nodiscard]] std::optional<state::failure> read_operator_failure(const std::string& text);

[[nodiscard]] std::string write_drain_request(const drain_request& request);
/// Reads a body with exactly one of "endpoint" and "availability_zone". Fails
/// with `invalid_request`.
[[nodiscard]] state::result<drain_request> read_drain_request(const std::string& text);

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::drain_target> {
    using t = savoryrelay::protocol::drain_target;
    static constexpr std::array rows{
        enum_name<t>{t::endpoint, "endpoint"},
        enum_name<t>{t::availability_zone, "availability_zone"},
    };
};
