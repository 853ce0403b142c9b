// The durable row of a booking: a call to a plain service that may not be
// repeated.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace savoryrelay::state {

/// What the table says of a booking.
enum class booking_state {
    intent,  ///< the owner may send the call
    ran,     ///< the service ran the call; the row keeps its answer
    not_run, ///< the owner sent nothing and never will under this attempt
    closed,  ///< the service refuses the key from now on and has not run it
    unknown, ///< the call may have run, and the service could not tell
};

template <>
struct enum_table<booking_state> {
    static constexpr std::array rows{
        enum_name<booking_state>{booking_state::intent, "intent"},
        enum_name<booking_state>{booking_state::ran, "ran"},
        enum_name<booking_state>{booking_state::not_run, "not_run"},
        enum_name<booking_state>{booking_state::closed, "closed"},
        enum_name<booking_state>{booking_state::unknown, "unknown"},
    };
};

/// `ran` and `closed` are final. An attempt that certainly sent nothing may be
/// followed by another. An unknown booking becomes certain through a late
/// answer, the service, or its owner.
template <>
struct transition_table<booking_state> {
    using s = booking_state;
    static constexpr std::array rows{
        transition<s>{s::intent, s::ran},     transition<s>{s::intent, s::not_run},
        transition<s>{s::intent, s::closed},  transition<s>{s::intent, s::unknown},
        transition<s>{s::unknown, s::ran},    transition<s>{s::unknown, s::not_run},
        transition<s>{s::unknown, s::closed}, transition<s>{s::not_run, s::intent},
    };
};

/// One run of a daemon. Only the owner of an attempt may send its call.
struct booking_owner {
    member_id member;
    std::uint64_t incarnation = 0;

    friend bool operator==(const booking_owner&, const booking_owner&) = default;
};

/// The name of a booking: the customer and its idempotency key.
struct booking_id {
    customer_id customer;
    std::string key;

    friend bool operator==(const booking_id&, const booking_id&) = default;
};

/// The answer of a service, as a repeated call receives it.
struct booking_answer {
    int status = 0; ///< HTTP status
    std::string content_type;
    std::string body;

    friend bool operator==(const booking_answer&, const booking_answer&) = default;
};

/// The value of a booking's row.
/// Invariant: `answer` is empty unless `state` is `ran`.
struct booking_row {
    booking_state state = booking_state::intent;
    booking_id id;
    deployment_id deployment;
    std::string body_digest; ///< SHA-256 of method, path and body, 64 hex digits
    booking_owner owner;
    std::uint32_t attempt = 1; ///< grows with each step from `not_run` to `intent`
    booking_answer answer;

    friend bool operator==(const booking_row&, const booking_row&) = default;
};

/// The text form of a row's value. Coordination knows it only by these hooks.
struct booking_codec {
    std::function<std::string(const booking_row&)> encode;
    /// Fails with `message_damaged`.
    std::function<result<booking_row>(const std::string& text)> decode;
};

/// Partitions of the booking table, by which rows can be scanned and batched.
inline constexpr std::uint32_t booking_partitions = 16;

/// The partition of `id`, the same on each host.
[[nodiscard]] std::uint32_t partition_of(const booking_id& id);

/// Prefix of all row keys of a partition.
[[nodiscard]] std::string partition_prefix(std::uint32_t partition);

/// Key of the row: `booking/<partition>/<customer>/<key>`, percent-encoded.
[[nodiscard]] std::string row_key(const booking_id& id);

/// The idempotency key that the service receives: `<customer>:<key>`,
/// percent-encoded, so that equal keys of two customers differ.
[[nodiscard]] std::string service_key(const booking_id& id);

} // namespace savoryrelay::state
