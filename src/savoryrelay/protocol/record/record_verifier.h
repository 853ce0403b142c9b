// Verification of segments from public data alone: public keys with their validity
// periods and, optionally, the anchors from the platform's table.
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

/// The kinds of damage to a record.
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
    re_signed_segment,
    signature_invalid,
    unknown_key,
    key_not_valid,
    damaged_content,
    foreign_content,
};

/// Returns what an operator should do about this kind of damage.
[[nodiscard]] std::string_view remedy_of(record_damage damage);

/// One defect of a record.
struct record_finding {
    record_damage damage = record_damage::damaged_segment;
    std::string chain;
    std::uint64_t segment = 0; ///< 0 if the finding concerns the whole chain
    std::uint64_t entry = 0;   ///< sequence, or 0 if the finding concerns the whole segment
    std::string detail;

    /// Returns "damage: chain 'X' segment N entry M: detail; remedy".
    [[nodiscard]] std::string message() const;
};

/// Totals of a verification.
struct record_summary {
    std::uint64_t chains = 0;
    std::uint64_t open_chains = 0; ///< chains whose last segment is not marked as closed
    std::uint64_t segments = 0;
    std::uint64_t entries = 0;
    std::uint64_t unanchored_segments = 0; ///< segments that no anchor covers; 0 without anchors
    std::uint64_t content_parts = 0;       ///< parts that match their digests
    std::uint64_t absent_parts = 0;        ///< parts that were erased, withheld or never kept
    std::uint64_t findings = 0;
};

/// The public keys and anchors that a verification relies on.
struct verifier_inputs {
    std::vector<record_public_key> keys;
    std::optional<std::vector<state::record_anchor>> anchors;
};

/// The checks of the verifier. Tests disable them one at a time to show which damage
/// each check finds.
struct verifier_hooks {
    using digest_comparison =
        std::function<bool(const state::sha256_digest& left, const state::sha256_digest& right)>;
    digest_comparison link_matches = std::equal_to<>();
    digest_comparison previous_digest_matches = std::equal_to<>();
    digest_comparison anchor_matches = std::equal_to<>();
    digest_comparison content_matches = std::equal_to<>();
    std::function<bool(std::uint64_t expected, std::uint64_t found)> number_matches =
        std::equal_to<>();
    std::function<bool(const record_public_key&, std::string_view, std::string_view)>
        signature_valid = verify_signature;
};

/// Verifies segments one at a time. The caller passes the segments of a chain in the
/// order of their names, each followed by its content objects. Memory use: one read
/// buffer, one entry, the content digests of one segment, the anchors, and for each
/// chain about 200 bytes and the tracked numbers of its missing segments.
class record_verifier {
public:
    using finding_hook = std::function<void(const record_finding&)>;
    using entry_hook =
        std::function<void(const state::segment_header&, const state::record_entry&)>;

    /// `on_entry` may be empty. It is called with entries before the signature of
    /// their segment is checked.
    record_verifier(verifier_inputs inputs, finding_hook on_finding, entry_hook on_entry = {},
                    verifier_hooks hooks = {});

    /// Verifies one segment. `name` ends in "<chain>/<number>.segment", or is empty
    /// if unknown.
    void verify_segment(const std::string& name, byte_source source);
    /// Verifies a content object of the segment that was verified last.
    void verify_content(const std::string& name, byte_source source);
    /// Reports missing segments and chains and returns the totals.
    record_summary finish();

private:
    struct chain_state {
        std::uint64_t next_number = 1;
        std::uint64_t next_sequence = 1;
        /// True if `digest` can be trusted: the segment before `next_number` had no finding.
        bool digest_known = true;
        state::sha256_digest digest{}; ///< of the segment before `next_number`
        bool closed = false;
        std::set<std::uint64_t> missing_numbers; ///< skipped numbers whose segments may follow
    };
    struct segment_result {
        state::segment_header header;
        segment_trailer trailer;
        state::sha256_digest digest{};
        std::uint64_t next_sequence = 1;
        std::optional<record_finding> finding;
    };
    struct expected_content {
        state::sha256_digest digest{};
        state::customer_id customer;
    };

    [[nodiscard]] segment_result check_segment(byte_source source);
    void check_entries(segment_reader& reader, segment_result& checked, state::sha256_digest& link);
    void check_key(segment_result& checked) const;
    void check_position(const std::string& name, segment_result& checked, chain_state& chain,
                        std::uint64_t segment_number);
    void report(record_finding finding);
    void count_absent_contents();
    [[nodiscard]] const state::record_anchor* anchor_of(const std::string& chain) const;

    verifier_inputs m_inputs;
    finding_hook m_on_finding;
    entry_hook m_on_entry;
    verifier_hooks m_hooks;
    record_summary m_summary;
    std::map<std::string, state::record_anchor> m_anchors; // by chain
    std::map<std::string, chain_state> m_chains;
    sha256_stream m_hash;

    // State of the segment that was verified last.
    state::segment_header m_last_header;
    bool m_last_is_valid = false;
    std::unordered_map<std::uint64_t, expected_content> m_expected_contents;
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
        enum_name<d>{d::re_signed_segment, "resigned_segment"},
        enum_name<d>{d::signature_invalid, "signature_invalid"},
        enum_name<d>{d::unknown_key, "unknown_key"},
        enum_name<d>{d::key_not_valid, "key_not_valid"},
        enum_name<d>{d::damaged_content, "damaged_content"},
        enum_name<d>{d::foreign_content, "foreign_content"},
    };
};
