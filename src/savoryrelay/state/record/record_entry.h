// Data types of the record: entries, segments before and after signing, and the
// anchors in the platform's table.
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

/// The kind of event that an entry describes. The values are part of the segment
/// format.
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

/// One entry of the record. The chain covers `content` by a salted digest, and
/// every other field directly.
struct record_entry {
    record_kind kind = record_kind::request_accepted;
    std::uint64_t sequence = 0; ///< position in the chain, starting at 1; set by the writer
    wall_time at{};             ///< set by the writer
    std::string actor;          ///< the customer, operator or member that acted
    customer_id customer;
    deployment_id deployment;
    request_id request;
    std::string action;              ///< for example a path, a booking state or "drain"
    std::string subject;             ///< the object of the action, for example a booking key
    std::uint64_t from_revision = 0; ///< configuration revision before a change
    std::uint64_t to_revision = 0;   ///< configuration revision after a change
    std::optional<execution_outcome> outcome;
    std::string result; ///< "ok" or the name of a failure kind
    std::string content;
    record_rule rule = record_rule::none; ///< which part of `content` is kept
    /// Digest of salt and content. Set by the encoder unless the rule is `none`.
    std::optional<sha256_digest> content_digest;
    std::uint64_t content_size = 0; ///< bytes of `content`; set by the encoder
};

/// The header of a segment.
struct segment_header {
    std::string chain;                ///< name of the chain; one chain per daemon incarnation
    std::uint64_t number = 1;         ///< starts at 1 and has no gaps
    std::uint64_t first_sequence = 1; ///< sequence of the first entry
    sha256_digest previous_segment{}; ///< digest of the previous segment; zero for the first one
    std::string key_id;               ///< set by the encoder
    wall_time written_at{};           ///< the signing key must be valid at this time
    friend bool operator==(const segment_header&, const segment_header&) = default;
};

/// The entries of a segment that has not been signed yet.
struct segment_draft {
    segment_header header;
    std::vector<record_entry> entries;
    bool closed = false; ///< the chain ends with this segment
};

/// Content of one customer, stored next to a segment.
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

/// The row `anchor/<chain>`, which states the last segment of the chain.
struct record_anchor {
    std::string chain;
    std::uint64_t segment = 0;
    sha256_digest digest{};
    bool closed = false;
};

/// Returns the key of a chain's anchor row.
[[nodiscard]] std::string anchor_key(const std::string& chain);
/// Returns the name of a segment's object: "record/<chain>/<number, 10 digits>.segment".
[[nodiscard]] std::string segment_object(const std::string& chain, std::uint64_t number);
/// Returns the name of the object that stores a customer's content next to a
/// segment. The name contains a digest of the customer identifier, because
/// identifiers may contain any character.
[[nodiscard]] std::string content_object(const std::string& chain, std::uint64_t number,
                                         const customer_id& customer);
/// Returns the suffix of the names of all content objects of `customer`.
[[nodiscard]] std::string content_suffix(const customer_id& customer);

/// Prefix of the names of all objects of the record.
inline constexpr std::string_view record_prefix = "record/";

} // namespace savoryrelay::state
