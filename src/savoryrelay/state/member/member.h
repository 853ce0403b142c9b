// Entry hosts as members: their states, what one member tells another about
// them, and the messages that carry it. Decisions and the encoder share these
// types, because neither layer includes the other.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// What a member believes of another. The order is the precedence of updates
/// with equal incarnation: a later value replaces an earlier one.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

template <>
struct enum_table<member_state> {
    static constexpr std::array rows{
        enum_name<member_state>{member_state::alive, "alive"},
        enum_name<member_state>{member_state::suspect, "suspect"},
        enum_name<member_state>{member_state::dead, "dead"},
        enum_name<member_state>{member_state::left, "left"},
    };
};

/// Updates overtake each other, so each state can follow each other one; only
/// the return to `alive` needs a higher incarnation.
template <>
struct transition_table<member_state> {
    using s = member_state;
    static constexpr std::array rows{
        transition<s>{s::alive, s::suspect}, transition<s>{s::alive, s::dead},
        transition<s>{s::alive, s::left},    transition<s>{s::suspect, s::alive},
        transition<s>{s::suspect, s::dead},  transition<s>{s::suspect, s::left},
        transition<s>{s::dead, s::alive},    transition<s>{s::dead, s::suspect},
        transition<s>{s::dead, s::left},     transition<s>{s::left, s::alive},
        transition<s>{s::left, s::suspect},  transition<s>{s::left, s::dead},
    };
};

/// Where a member receives datagrams.
struct member_address {
    std::string ip; ///< numeric IPv4 or IPv6 address
    std::uint16_t port = 0;

    friend bool operator==(const member_address&, const member_address&) = default;
};

/// What one member says about another.
struct member_update {
    member_id id;
    member_address address;
    std::uint64_t incarnation = 0; ///< only the member itself raises it
    member_state state = member_state::alive;
};

/// True when `update` replaces a belief of `incarnation` and `state`.
[[nodiscard]] constexpr bool overrides(const member_update& update, std::uint64_t incarnation,
                                       member_state state) {
    return update.incarnation > incarnation ||
           (update.incarnation == incarnation && update.state > state);
}

/// Subsystems whose small updates travel with the membership.
enum class update_topic : std::uint8_t { endpoint_phase, crash_fingerprint };

template <>
struct enum_table<update_topic> {
    static constexpr std::array rows{
        enum_name<update_topic>{update_topic::endpoint_phase, "endpoint_phase"},
        enum_name<update_topic>{update_topic::crash_fingerprint, "crash_fingerprint"},
    };
};

/// An update of another subsystem. Of two updates with the same topic and key
/// the higher version wins.
struct topic_update {
    update_topic topic = update_topic::endpoint_phase;
    std::string key;   ///< at most `max_topic_key_bytes`
    std::string value; ///< at most `max_topic_value_bytes`
    std::uint64_t version = 0;
};

/// A member answered a probe so many milliseconds ago.
struct answer_evidence {
    std::uint32_t member = 0; ///< `member_hash` of its identifier
    std::uint32_t age_ms = 0; ///< when the message was made; sent in steps of 16 ms, rounded up
};

enum class peer_message_kind : std::uint8_t {
    ping,
    ack,
    ping_request,
    indirect_ping, ///< sent for the member of a ping_request; its ack is short
};

template <>
struct enum_table<peer_message_kind> {
    static constexpr std::array rows{
        enum_name<peer_message_kind>{peer_message_kind::ping, "ping"},
        enum_name<peer_message_kind>{peer_message_kind::ack, "ack"},
        enum_name<peer_message_kind>{peer_message_kind::ping_request, "ping_request"},
        enum_name<peer_message_kind>{peer_message_kind::indirect_ping, "indirect_ping"},
    };
};

/// The configuration revisions a member knows of.
struct revision_view {
    std::uint64_t held = 0;      ///< in force at the member
    std::uint64_t heard = 0;     ///< highest that is known to be accepted, >= held
    std::uint64_t announced = 0; ///< highest announcement, see `make_announcement`
};

/// A member announces a revision before it submits it. The attempt grows when
/// the same revision is announced again, so that members notice the repetition.
[[nodiscard]] constexpr std::uint64_t make_announcement(std::uint64_t revision,
                                                        std::uint64_t attempt) {
    constexpr std::uint64_t max_attempt = 0xFFFF;
    return (revision << 16U) | (attempt < max_attempt ? attempt : max_attempt);
}

/// The revision that an announcement names.
[[nodiscard]] constexpr std::uint64_t announced_revision(std::uint64_t announcement) {
    return announcement >> 16U;
}

/// A datagram between members.
struct peer_message {
    peer_message_kind kind = peer_message_kind::ping;
    member_id from;
    std::uint64_t incarnation = 0; ///< of `from`
    std::uint32_t sequence = 0;    ///< an ack repeats the ping's number
    member_id target;              ///< member probed; empty in a ping to a seed
    /// False while `from` may have forgotten revisions in a restart. Its
    /// answers then prove that it lives, but do not count for a majority.
    bool informed = false;
    revision_view revisions;
    std::vector<answer_evidence> evidence; ///< acks only
    std::vector<member_update> members;
    std::vector<topic_update> topics;
};

/// Full state for a member that joins, wakes or lags.
struct peer_state {
    std::vector<member_update> members;
    revision_view revisions;
    std::string configuration; ///< document of `revisions.held`, empty for revision 0
};

// Bounds of a datagram. IPv4 guarantees 576 bytes and Ethernet paths carry
// 1,500; 1,200 leaves room for tunnels.
inline constexpr std::size_t max_datagram_bytes = 1'200;
inline constexpr std::size_t max_member_id_bytes = 64;
inline constexpr std::size_t max_ip_bytes = 45;
inline constexpr std::size_t max_topic_key_bytes = 128;
inline constexpr std::size_t max_topic_value_bytes = 64;
inline constexpr std::size_t max_evidence = 110;
/// Larger ages are not sent: they no longer count for the isolation rule.
inline constexpr std::uint32_t max_evidence_age_ms = 4'000;

/// The part of a datagram that updates of members and topics may fill, beside
/// the fixed fields, the largest evidence and the signature.
inline constexpr std::size_t max_update_bytes = 400;

/// Short number of a member in evidence. Two of 320 members collide with a
/// probability of 1.2e-5.
[[nodiscard]] std::uint32_t member_hash(const member_id& id);

/// Bytes that an update takes in a datagram.
[[nodiscard]] std::size_t encoded_bytes(const member_update& update);
[[nodiscard]] std::size_t encoded_bytes(const topic_update& update);

} // namespace savoryrelay::state
