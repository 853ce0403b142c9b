// Encodes and decodes the JSON messages of the operators' HTTP interface.
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

/// The status of an endpoint as known to the answering member.
struct endpoint_status {
    state::endpoint_config config;
    state::endpoint_state state;
    bool zone_drained = false;
};

/// The status of a member as known to the answering member.
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
    std::string operator_name; ///< empty: unknown, for example for a first configuration
    std::string document;      ///< YAML
};

/// The kind of object that a drain or a return applies to.
enum class drain_target { endpoint, availability_zone };

/// The body of POST /drain and POST /return.
struct drain_request {
    drain_target target = drain_target::endpoint;
    std::string id;
};

/// Encodes the answer of GET /status.
[[nodiscard]] std::string encode_status(const daemon_status& status);
/// Encodes a configuration revision.
[[nodiscard]] std::string encode_configuration_revision(const configuration_revision& revision);
/// Decodes the output of `encode_configuration_revision`. Fails with `message_damaged`.
[[nodiscard]] state::result<configuration_revision>
decode_configuration_revision(const std::string& text);

/// Encodes the answer to an accepted change: the revision that contains it.
[[nodiscard]] std::string encode_accepted_revision(std::uint64_t revision);
/// Decodes the output of `encode_accepted_revision`. Fails with `message_damaged`.
[[nodiscard]] state::result<std::uint64_t> decode_accepted_revision(const std::string& text);

/// Encodes the answer to a refused request: kind, detail, message with remedy, outcome.
[[nodiscard]] std::string encode_operator_failure(const state::failure& failure);
/// Decodes the output of `encode_operator_failure`. Returns `nullopt` for any other text.
[[nodiscard]] std::optional<state::failure> decode_operator_failure(const std::string& text);

/// Encodes the body of a drain or a return.
[[nodiscard]] std::string encode_drain_request(const drain_request& request);
/// Decodes a body with exactly one of "endpoint" and "availability_zone". Fails with
/// `invalid_request`.
[[nodiscard]] state::result<drain_request> decode_drain_request(const std::string& text);

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::drain_target> {
    using t = savoryrelay::protocol::drain_target;
    static constexpr std::array rows{
        enum_name<t>{t::endpoint, "endpoint"},
        enum_name<t>{t::availability_zone, "availability_zone"},
    };
};
