// Typed rows of the record: entries, segments before and after signing, and
// the anchors in the platform's table.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/digest/digest.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// What an entry describes. The values are part of the segment format.
enum class record_kind : std::uint8_t {
    request_accepted = 1,
    request_ended = 2,
    booking = 3,
    operator_change = 4,
    content_erased = 5,
    chain_closed = 6,
};

template <>
struct enum_table<record_kind> {
    using k = record_kind;
    static constexpr std::array rows{
        enum_name<k>{k::request_accepted, "request_accepted"},
        enum_name<k>{k::request_ended, "request_ended"},
        enum_name<k>{k::booking, "booking"},
        enum_name<k>{k::operator_change, "operator_change"},
        enum_name<k>{k::content_erased, "content_erased"},
        enum_name<k>{k::chain_closed, "chain_closed"},
    };
};

/// One entry. The chain covers every field but `content`, of which it covers a
/// salted digest.
struct record_entry {
    record_kind kind = record_kind::request_accepted;
    std::uint64_t sequence = 0; ///< position in the chain from 1, set by the writer
    wall_time at{};             ///< set by the writer
    std::string actor;          ///< customer, operator or member that acted
    customer_id customer;
    deployment_id deployment;
    request_id request;
    std::string action;              ///< for example a path, a booking state, "drain"
    std::string subject;             ///< what was acted on, for example a booking key
    std::uint64_t from_revision = 0; ///< configuration revision before a change
    std::uint64_t to_revision = 0;   ///< configuration revision after a change
    std::optional<execution_outcome> outcome;
    std::string result; ///< "ok" or the name of a failure kind
    std::string content;
    record_rule rule = record_rule::none; ///< what is kept of `content`
    /// Digest of salt and content; set by the encoder, unless the rule is `none`.
    std::optional<sha256_digest> content_digest;
    std::uint64_t content_size = 0; ///< bytes of `content`, set by the encoder
};

/// What a segment's header states.
struct segment_header {
    std::string chain;                ///< one per daemon incarnation
    std::uint64_t number = 1;         ///< from 1, without gaps
    std::uint64_t first_sequence = 1; ///< sequence of the first entry
    sha256_digest previous_segment{}; ///< zero for the first segment
    std::string key_id;               ///< set by the encoder
    wall_time written_at{};           ///< the key must be valid at this time
    friend bool operator==(const segment_header&, const segment_header&) = default;
};

/// Entries that are to become a segment.
struct segment_draft {
    segment_header header;
    std::vector<record_entry> entries;
    bool closed = false; ///< the chain ends with this segment
};

/// Content of one customer, kept beside a segment.
struct sealed_content {
    customer_id customer;
    std::string bytes;
};

/// A signed segment, ready for the object store.
struct sealed_segment {
    std::string bytes;
    sha256_digest digest{};
    std::vector<sealed_content> contents;
};

/// The row `anchor/<chain>`: how far the chain reached.
struct record_anchor {
    std::string chain;
    std::uint64_t segment = 0;
    sha256_digest digest{};
    bool closed = false;
};

/// Key of a chain's anchor row.
[[nodiscard]] std::string anchor_key(const std::string& chain);
/// Name of a segment's object: "record/<chain>/<number, 10 digits>.segment".
[[nodiscard]] std::string segment_object(const std::string& chain, std::uint64_t number);
/// Name of the content object of one customer beside a segment. It carries a
/// digest of the customer, because identifiers may hold any character.
[[nodiscard]] std::string content_object(const std::string& chain, std::uint64_t number,
                                         const customer_id& customer);
/// The end of the names of all content objects of `customer`.
[[nodiscard]] std::string content_suffix(const customer_id& customer);

/// Prefix of the names of all objects of the record.
inline constexpr std::string_view record_prefix = "record/";

} // namespace savoryrelay::state
