// Types of the membership of entry hosts: member states, updates about members, and the messages
// that carry them. The coordination and protocol layers share these types, because neither includes
// the other.
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

/// State of a member as another member sees it. The order of the values is the precedence of
/// updates with equal incarnation: a later value replaces an earlier one.
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

/// Updates may arrive in any order, so every state can follow every other one. A change to a state
/// of lower precedence needs a higher incarnation.
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

/// The address at which a member receives datagrams.
struct member_address {
    std::string ip; ///< numeric IPv4 or IPv6 address
    std::uint16_t port = 0;

    friend bool operator==(const member_address&, const member_address&) = default;
};

/// The state of a member, as one member reports it to another.
struct member_update {
    member_id id;
    member_address address;
    std::uint64_t incarnation = 0; ///< only the member itself raises it
    member_state state = member_state::alive;
};

/// Returns whether `update` replaces a record with `incarnation` and `state`.
[[nodiscard]] constexpr bool overrides(const member_update& update, std::uint64_t incarnation,
                                       member_state state) {
    return update.incarnation > incarnation ||
           (update.incarnation == incarnation && update.state > state);
}

/// Kinds of small updates from other subsystems that membership messages carry.
enum class update_topic : std::uint8_t { endpoint_phase, crash_fingerprint };

template <>
struct enum_table<update_topic> {
    static constexpr std::array rows{
        enum_name<update_topic>{update_topic::endpoint_phase, "endpoint_phase"},
        enum_name<update_topic>{update_topic::crash_fingerprint, "crash_fingerprint"},
    };
};

/// An update from another subsystem. Of two updates with the same topic and key, the one with the
/// higher version is kept.
struct topic_update {
    update_topic topic = update_topic::endpoint_phase;
    std::string key;   ///< at most `max_topic_key_bytes`
    std::string value; ///< at most `max_topic_value_bytes`
    std::uint64_t version = 0;
};

/// Evidence that a member answered a probe that was sent `age_ms` milliseconds ago.
struct answer_evidence {
    std::uint32_t member = 0; ///< `member_hash` of its identifier
    std::uint32_t age_ms =
        0; ///< at the creation of the message; encoded in steps of 16 ms, rounded up
};

/// Kind of a datagram between members.
enum class peer_message_kind : std::uint8_t {
    ping,
    ack,
    ping_request,
    indirect_ping, ///< sent on behalf of a ping_request; its ack carries no evidence
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

/// The configuration revisions that a member knows of.
struct revision_view {
    std::uint64_t held = 0;         ///< revision in force at the member
    std::uint64_t latest_known = 0; ///< highest revision known to be accepted, >= held
    std::uint64_t announced = 0;    ///< highest announcement, see `make_announcement`
};

/// Returns the announcement of a revision, which a member publishes before it submits the revision.
/// `attempt` increases when the same revision is announced again, so that members can tell the
/// attempts apart.
[[nodiscard]] constexpr std::uint64_t make_announcement(std::uint64_t revision,
                                                        std::uint64_t attempt) {
    constexpr std::uint64_t max_attempt = 0xFFFF;
    return (revision << 16U) | (attempt < max_attempt ? attempt : max_attempt);
}

/// Returns the revision of an announcement.
[[nodiscard]] constexpr std::uint64_t announced_revision(std::uint64_t announcement) {
    return announcement >> 16U;
}

/// A datagram between members.
struct peer_message {
    peer_message_kind kind = peer_message_kind::ping;
    member_id from;
    std::uint64_t incarnation = 0; ///< incarnation of `from`
    std::uint32_t sequence = 0;    ///< an ack repeats the number of its ping
    member_id target;              ///< probed member; empty in a ping to a seed
    /// False while `from` may lack revisions that it knew before a restart. Its answers then prove
    /// that it is alive, but do not count for a majority.
    bool caught_up = false;
    revision_view revisions;
    std::vector<answer_evidence> evidence; ///< acks only
    std::vector<member_update> members;
    std::vector<topic_update> topics;
};

/// Full state, sent to a member that joins, resumes after a pause or lacks a revision.
struct peer_state {
    std::vector<member_update> members;
    revision_view revisions;
    std::string configuration; ///< document of revision `revisions.held`, empty for revision 0
};

// Limits of a datagram. IPv4 guarantees 576 bytes and Ethernet carries 1,500 bytes; 1,200 leaves
// room for tunnel headers.
inline constexpr std::size_t max_datagram_bytes = 1'200;
inline constexpr std::size_t max_member_id_bytes = 64;
inline constexpr std::size_t max_ip_bytes = 45;
inline constexpr std::size_t max_topic_key_bytes = 128;
inline constexpr std::size_t max_topic_value_bytes = 64;
/// Maximum number of `answer_evidence` entries in a datagram.
inline constexpr std::size_t max_evidence = 110;
/// Evidence of this age or older is not sent, because it no longer counts for the isolation rule.
inline constexpr std::uint32_t max_evidence_age_ms = 4'000;

/// Maximum size of all member and topic updates in a datagram. The rest is for the fixed fields,
/// `max_evidence` entries and the signature.
inline constexpr std::size_t max_update_bytes = 400;

/// Returns the hash that identifies a member in evidence. The probability that any two of 320
/// members collide is 1.2e-5.
[[nodiscard]] std::uint32_t member_hash(const member_id& id);

/// Returns the encoded size of an update in a datagram.
[[nodiscard]] std::size_t encoded_bytes(const member_update& update);
[[nodiscard]] std::size_t encoded_bytes(const topic_update& update);

} // namespace savoryrelay::state
