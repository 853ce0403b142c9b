// Verification of segments from public material alone: public keys with their
// periods and, optionally, the anchors of the platform's table.
#pragma once

#include "savoryrelay/protocol/record/record_keys.h"
#include "savoryrelay/protocol/record/segment_reader.h"
#include "savoryrelay/state/record/record_entry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace savoryrelay::protocol {

/// What is wrong with a record.
enum class record_damage {
    damaged_entry,
    reordered_entry,
    duplicated_entry,
    missing_entry,
    damaged_segment,
    truncated_segment,
    unsupported_version,
    reordered_segment,
    duplicated_segment,
    missing_segment,
    missing_chain,
    foreign_segment,
    resigned_segment,
    signature_invalid,
    unknown_key,
    key_not_valid,
    damaged_content,
    foreign_content,
};

/// What the reader of a finding should do.
[[nodiscard]] std::string_view remedy_of(record_damage damage);

/// One defect.
struct record_finding {
    record_damage damage = record_damage::damaged_segment;
    std::string chain;
    std::uint64_t segment = 0; ///< 0: the whole chain
    std::uint64_t entry = 0;   ///< sequence, 0: the whole segment
    std::string detail;

    /// "damage: chain X segment N entry M: detail; remedy".
    [[nodiscard]] std::string message() const;
};

/// Counts over everything that was verified.
struct record_summary {
    std::uint64_t chains = 0;
    std::uint64_t open_chains = 0; ///< not ended by a graceful stop
    std::uint64_t segments = 0;
    std::uint64_t entries = 0;
    std::uint64_t unanchored_segments = 0; ///< beyond the anchors, if there are any
    std::uint64_t content_parts = 0;       ///< checked against their digests
    std::uint64_t absent_parts = 0;        ///< erased, withheld or never kept
    std::uint64_t findings = 0;
};

/// Public material.
struct verifier_material {
    std::vector<record_public_key> keys;
    std::optional<std::vector<state::record_anchor>> anchors;
};

/// The comparisons of the verifier. Tests replace them one by one to show what
/// each of them finds.
struct verifier_hooks {
    using digests_match = std::function<bool(const state::sha256_digest& computed,
                                             const state::sha256_digest& stated)>;
    digests_match link_matches = std::equal_to<>();
    digests_match previous_matches = std::equal_to<>();
    digests_match anchor_matches = std::equal_to<>();
    digests_match content_matches = std::equal_to<>();
    std::function<bool(std::uint64_t expected, std::uint64_t found)> number_follows =
        std::equal_to<>();
    std::function<bool(const record_public_key&, std::string_view, std::string_view)>
        signature_valid = verify_signature;
};

/// Verifies segments one at a time. Segments of a chain come in the order of
/// their names, each followed by its content objects. Memory: one buffer, one
/// entry, the digests of one segment, and about 200 bytes a chain.
class record_verifier {
public:
    using finding_hook = std::function<void(const record_finding&)>;
    using entry_hook =
        std::function<void(const state::segment_header&, const state::record_entry&)>;

    /// `on_entry` may be empty. It receives entries before the signature of
    /// their segment has been checked.
    record_verifier(verifier_material material, finding_hook on_finding, entry_hook on_entry = {},
                    verifier_hooks hooks = {});

    /// `name` ends in "<chain>/<number>.segment", or is empty when unknown.
    void verify_segment(const std::string& name, byte_source source);
    /// Checks a content object of the segment that was verified last.
    void verify_content(const std::string& name, byte_source source);
    /// Reports missing segments and chains and returns the counts.
    record_summary finish();

private:
    struct chain_state {
        std::uint64_t next_number = 1;
        std::uint64_t next_sequence = 1;
        bool digest_known = true; ///< of the segment before `next_number`
        state::sha256_digest digest{};
        bool closed = false;
        std::set<std::uint64_t> gaps; ///< numbers that were passed over
    };
    struct segment_result {
        state::segment_header header;
        segment_trailer trailer;
        state::sha256_digest digest{};
        std::uint64_t next_sequence = 1;
        std::optional<record_finding> finding;
    };
    struct content_row {
        state::sha256_digest digest{};
        state::customer_id customer;
    };

    [[nodiscard]] segment_result check_segment(byte_source source);
    void check_entries(segment_reader& reader, segment_result& checked, state::sha256_digest& link);
    void check_key(segment_result& checked) const;
    void check_position(const std::string& name, segment_result& checked, chain_state& chain,
                        std::uint64_t position);
    void report(record_finding finding);
    void end_contents();
    [[nodiscard]] const state::record_anchor* anchor_of(const std::string& chain) const;

    verifier_material m_material;
    finding_hook m_on_finding;
    entry_hook m_on_entry;
    verifier_hooks m_hooks;
    record_summary m_summary;
    std::map<std::string, state::record_anchor> m_anchors; // by chain
    std::map<std::string, chain_state> m_chains;
    sha256_stream m_hash;

    // Of the segment verified last.
    state::segment_header m_last_header;
    bool m_last_sound = false;
    std::unordered_map<std::uint64_t, content_row> m_contents;
};

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::record_damage> {
    using d = savoryrelay::protocol::record_damage;
    static constexpr std::array rows{
        enum_name<d>{d::damaged_entry, "damaged_entry"},
        enum_name<d>{d::reordered_entry, "reordered_entry"},
        enum_name<d>{d::duplicated_entry, "duplicated_entry"},
        enum_name<d>{d::missing_entry, "missing_entry"},
        enum_name<d>{d::damaged_segment, "damaged_segment"},
        enum_name<d>{d::truncated_segment, "truncated_segment"},
        enum_name<d>{d::unsupported_version, "unsupported_version"},
        enum_name<d>{d::reordered_segment, "reordered_segment"},
        enum_name<d>{d::duplicated_segment, "duplicated_segment"},
        enum_name<d>{d::missing_segment, "missing_segment"},
        enum_name<d>{d::missing_chain, "missing_chain"},
        enum_name<d>{d::foreign_segment, "foreign_segment"},
        enum_name<d>{d::resigned_segment, "resigned_segment"},
        enum_name<d>{d::signature_invalid, "signature_invalid"},
        enum_name<d>{d::unknown_key, "unknown_key"},
        enum_name<d>{d::key_not_valid, "key_not_valid"},
        enum_name<d>{d::damaged_content, "damaged_content"},
        enum_name<d>{d::foreign_content, "foreign_content"},
    };
};
