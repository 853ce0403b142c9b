// The durable row of a booking. A booking is a call to a plain service that must
// run at most once.
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

/// The durable state of a booking.
enum class booking_state {
    intent,  ///< the owner may send the call
    ran,     ///< the service ran the call; the row contains its answer
    not_run, ///< this attempt certainly did not run and will not run
    closed,  ///< the service did not run the call and refuses the key from now on
    unknown, ///< the call may have run; the service could not report whether it did
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

/// Lists the allowed transitions. `ran` and `closed` are final. After `not_run` a
/// new attempt may start. A late answer, the service or the owner can resolve
/// `unknown`.
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

/// One incarnation of a daemon. Only the owner of an attempt may send its call.
struct booking_owner {
    member_id member;
    std::uint64_t incarnation = 0;

    friend bool operator==(const booking_owner&, const booking_owner&) = default;
};

/// Identifies a booking by the customer and its idempotency key.
struct booking_id {
    customer_id customer;
    std::string key;

    friend bool operator==(const booking_id&, const booking_id&) = default;
};

/// The answer of a service, as stored for repeated calls.
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
    std::string body_digest; ///< SHA-256 of customer, method, target and body, 64 hex digits
    booking_owner owner;
    std::uint32_t attempt = 1; ///< increases with each transition from `not_run` to `intent`
    booking_answer answer;

    friend bool operator==(const booking_row&, const booking_row&) = default;
};

/// Converts between a row and its stored text. The coordination layer accesses
/// the encoding only through these hooks.
struct booking_codec {
    std::function<std::string(const booking_row&)> encode;
    /// Fails with `message_damaged`.
    std::function<result<booking_row>(const std::string& text)> decode;
};

/// Number of partitions of the booking table. Recovery scans one partition at a
/// time.
inline constexpr std::uint32_t booking_partitions = 16;

/// Returns the partition of `id`, which is the same on every host.
[[nodiscard]] std::uint32_t partition_of(const booking_id& id);

/// Returns the prefix of all row keys in a partition.
[[nodiscard]] std::string partition_prefix(std::uint32_t partition);

/// Returns the key of the row: `booking/<partition>/<customer>/<key>`, with the
/// customer and the key percent-encoded.
[[nodiscard]] std::string row_key(const booking_id& id);

/// Returns the idempotency key that the service receives: `<customer>:<key>`, with
/// both parts percent-encoded. The customer makes equal keys of two customers
/// distinct.
[[nodiscard]] std::string service_key(const booking_id& id);

} // namespace savoryrelay::state
