// Lines that open a tunnel between two hosts. A host asks a peer to connect it to an endpoint,
// which is named by id and start time, so that the peer connects only to endpoints that it knows.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Maximum size of a line in bytes, with its line end.
inline constexpr std::size_t max_relay_line_bytes = 512;

/// The endpoint that a tunnel is to reach.
struct relay_request {
    state::endpoint_id endpoint;  ///< not empty, without white space and control bytes
    std::uint64_t started_ms = 0; ///< start time of the endpoint's process

    friend bool operator==(const relay_request&, const relay_request&) = default;
};

/// The answer to a request. Only after `connected` does the connection carry bytes of the
/// endpoint; after any other answer the peer closes it, and nothing was sent to the endpoint.
enum class relay_reply {
    connected,        ///< the peer has a connection to the endpoint
    cut_off,          ///< the peer can't reach endpoints itself
    unknown_endpoint, ///< the peer knows no endpoint of this id and start time
    unreachable,      ///< the endpoint refused the peer's connection or did not answer
    overloaded,       ///< the peer has no memory or no room for a tunnel
    malformed,        ///< the request is not a line as described here
};

/// Returns the line "relay 1 ENDPOINT STARTED_MS" with its line end, or nothing if the id is not
/// valid or the line would be too long.
[[nodiscard]] std::optional<std::string> encode_relay_request(const relay_request& request);
/// Reads a line, which ends with its only line end. Returns nothing for any other text.
[[nodiscard]] std::optional<relay_request> decode_relay_request(std::string_view line);

/// Returns the line with the name of `reply` and its line end.
[[nodiscard]] std::string encode_relay_reply(relay_reply reply);
/// Reads a line, which ends with its only line end. Returns nothing for any other text.
[[nodiscard]] std::optional<relay_reply> decode_relay_reply(std::string_view line);

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::relay_reply> {
    using r = savoryrelay::protocol::relay_reply;
    static constexpr std::array rows{
        enum_name<r>{r::connected, "connected"},
        enum_name<r>{r::cut_off, "cut_off"},
        enum_name<r>{r::unknown_endpoint, "unknown_endpoint"},
        enum_name<r>{r::unreachable, "unreachable"},
        enum_name<r>{r::overloaded, "overloaded"},
        enum_name<r>{r::malformed, "malformed"},
    };
};
