// Checks links, signatures, order, anchors and content of a record.
#include "savoryrelay/protocol/record/record_verifier.h"

#include "savoryrelay/protocol/record/segment_encoder.h"

#include <algorithm>
#include <charconv>

namespace savoryrelay::protocol {
namespace {

using namespace record_format;

// A larger gap in the segment numbers is reported as one range instead of being
// tracked number by number, so that a forged number cannot exhaust memory.
constexpr std::uint64_t max_tracked_gap = 4'096;

struct remedy_row {
    record_damage damage;
    std::string_view remedy;
};

constexpr std::string_view fetch_again =
    "fetch the segment from the object store again; if it is still damaged, keep it as evidence";
constexpr std::string_view check_keys =
    "obtain the published list of keys; a segment signed with an unpublished key is forged";

constexpr std::array remedies{
    remedy_row{record_damage::damaged_entry, fetch_again},
    remedy_row{record_damage::reordered_entry, fetch_again},
    remedy_row{record_damage::duplicated_entry, fetch_again},
    remedy_row{record_damage::missing_entry, fetch_again},
    remedy_row{record_damage::damaged_segment, fetch_again},
    remedy_row{record_damage::truncated_segment, fetch_again},
    remedy_row{record_damage::unsupported_version,
               "use a savoryrelayctl that reads this version of the format"},
    remedy_row{record_damage::reordered_segment, "name each segment after its own number"},
    remedy_row{record_damage::duplicated_segment,
               "remove the copy and fetch the segment that belongs there"},
    remedy_row{record_damage::missing_segment,
               "fetch the segment from the object store; if it is gone, ask who deleted it"},
    remedy_row{record_damage::missing_chain,
               "fetch the chain from the object store; if it is gone, ask who deleted it"},
    remedy_row{record_damage::foreign_segment, "move the segment to the folder of its own chain"},
    remedy_row{record_damage::re_signed_segment,
               "treat the key as compromised and compare with the anchors in the table"},
    remedy_row{record_damage::signature_invalid, fetch_again},
    remedy_row{record_damage::unknown_key, check_keys},
    remedy_row{record_damage::key_not_valid, check_keys},
    remedy_row{record_damage::damaged_content,
               "fetch the content object again; the chain itself is not affected"},
    remedy_row{record_damage::foreign_content, "move the content object next to its own segment"},
};

/// Chain and number from a name "<chain>/<number>.segment".
struct segment_name {
    std::string chain;
    std::uint64_t number = 0;
};

std::optional<segment_name> parse_segment_name(const std::string& name) {
    const auto slash = name.rfind('/');
    const auto dot = name.rfind(".segment");
    if (slash == std::string::npos || dot == std::string::npos || dot < slash) {
        return std::nullopt;
    }
    const auto before = slash == 0 ? std::string::npos : name.rfind('/', slash - 1);
    segment_name parsed;
    parsed.chain = before == std::string::npos ? name.substr(0, slash)
                                               : name.substr(before + 1, slash - before - 1);
    const auto* end = name.data() + dot;
    const auto read = std::from_chars(name.data() + slash + 1, end, parsed.number);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return parsed;
}

// Detects entries of a segment that are reordered, duplicated or missing, by their
// sequence numbers.
class sequence_check {
public:
    explicit sequence_check(std::uint64_t first) : m_next(first) {}

    /// `is_copy` is true if the entry has the same stored link as the entry before it.
    void add(std::uint64_t sequence, std::uint64_t expected, bool is_copy) {
        m_wrong_sequences += sequence != expected ? 1 : 0;
        m_copies += is_copy ? 1 : 0;
        if (sequence >= m_next) {
            m_first_skipped = sequence > m_next && m_first_skipped == 0 ? m_next : m_first_skipped;
            m_next = sequence + 1;
        } else if (m_first_skipped != 0 && sequence >= m_first_skipped) {
            m_first_reordered = m_first_reordered == 0 ? sequence : m_first_reordered;
        } else {
            m_first_duplicated = m_first_duplicated == 0 ? sequence : m_first_duplicated;
        }
    }

    /// Returns the kind of error and the first affected sequence. Returns nothing if
    /// the entries are in order. Also returns nothing if exactly one sequence is wrong
    /// and a link is broken: that entry is damaged, because moving or removing an entry
    /// would change the positions of other entries too.
    [[nodiscard]] std::optional<std::pair<record_damage, std::uint64_t>>
    find_error(bool link_broken) const {
        if (m_wrong_sequences == 0 || (m_wrong_sequences == 1 && m_copies == 0 && link_broken)) {
            return std::nullopt;
        }
        if (m_first_reordered != 0) {
            return std::pair{record_damage::reordered_entry, m_first_reordered};
        }
        if (m_first_duplicated != 0) {
            return std::pair{record_damage::duplicated_entry, m_first_duplicated};
        }
        if (m_first_skipped != 0) {
            return std::pair{record_damage::missing_entry, m_first_skipped};
        }
        return std::nullopt;
    }

private:
    std::uint64_t m_next;
    std::uint64_t m_wrong_sequences = 0;
    std::uint64_t m_copies = 0;
    std::uint64_t m_first_skipped = 0;
    std::uint64_t m_first_reordered = 0;
    std::uint64_t m_first_duplicated = 0;
};

record_damage damage_of(segment_error error) {
    if (error == segment_error::truncated) {
        return record_damage::truncated_segment;
    }
    return error == segment_error::unsupported_version ? record_damage::unsupported_version
                                                       : record_damage::damaged_segment;
}

} // namespace

std::string_view remedy_of(record_damage damage) {
    const auto* row = std::find_if(remedies.begin(), remedies.end(),
                                   [&](const auto& each) { return each.damage == damage; });
    return row == remedies.end() ? std::string_view{} : row->remedy;
}

std::string record_finding::message() const {
    auto text = std::string(state::to_name(damage)) + ": chain '" + chain + "'";
    if (segment != 0) {
        text += " segment " + std::to_string(segment);
    }
    if (entry != 0) {
        text += " entry " + std::to_string(entry);
    }
    return text + ": " + detail + "; " + std::string(remedy_of(damage));
}

record_verifier::record_verifier(verifier_inputs inputs, finding_hook on_finding,
                                 entry_hook on_entry, verifier_hooks hooks)
    : m_inputs(std::move(inputs)), m_on_finding(std::move(on_finding)),
      m_on_entry(std::move(on_entry)), m_hooks(std::move(hooks)) {
    for (const auto& anchor : m_inputs.anchors.value_or(std::vector<state::record_anchor>{})) {
        m_anchors[anchor.chain] = anchor;
    }
}

void record_verifier::report(record_finding finding) {
    ++m_summary.findings;
    m_on_finding(finding);
}

const state::record_anchor* record_verifier::anchor_of(const std::string& chain) const {
    const auto found = m_anchors.find(chain);
    return found == m_anchors.end() ? nullptr : &found->second;
}

void record_verifier::check_entries(segment_reader& reader, segment_result& checked,
                                    state::sha256_digest& link) {
    sequence_check order(checked.header.first_sequence);
    encoded_entry item;
    std::uint64_t expected_sequence = checked.header.first_sequence;
    std::optional<std::uint64_t> first_broken;
    bool has_undecodable_entry = false;
    while (reader.next(item)) {
        ++m_summary.entries;
        m_hash.add(link);
        m_hash.add(item.frame);
        if (!first_broken && !m_hooks.link_matches(m_hash.finish(), item.link)) {
            first_broken = expected_sequence;
        } else if (first_broken) {
            static_cast<void>(m_hash.finish());
        }
        // Continues from the stored link, so that the links after a damaged entry
        // can still be compared.
        const bool is_copy = link == item.link;
        link = item.link;

        const auto entry = state::collect([&] { return decode_entry(item.body()); });
        if (entry) {
            order.add(entry.value().sequence, expected_sequence, is_copy);
            if (entry.value().content_digest) {
                m_expected_contents[entry.value().sequence] = {*entry.value().content_digest,
                                                               entry.value().customer};
            }
            if (m_on_entry) {
                m_on_entry(checked.header, entry.value());
            }
        } else {
            has_undecodable_entry = true;
            first_broken = first_broken ? first_broken : expected_sequence;
        }
        ++expected_sequence;
    }
    checked.next_sequence = expected_sequence;

    const auto order_error = order.find_error(first_broken.has_value());
    if (order_error && !has_undecodable_entry) {
        checked.finding = {order_error->first, "", 0, order_error->second,
                           "the entries of the segment are out of order"};
    } else if (first_broken) {
        checked.finding = {record_damage::damaged_entry, "", 0, *first_broken,
                           "the entry does not match its link in the chain"};
    }
}

void record_verifier::check_key(segment_result& checked) const {
    const auto& header = checked.header;
    const auto key =
        std::find_if(m_inputs.keys.begin(), m_inputs.keys.end(),
                     [&](const auto& candidate) { return candidate.id == header.key_id; });
    if (key == m_inputs.keys.end()) {
        checked.finding = {record_damage::unknown_key, "", 0, 0,
                           "key '" + header.key_id + "' is not in the list of public keys"};
        return;
    }
    std::string message(signature_domain);
    put_digest(message, checked.digest);
    if (!m_hooks.signature_valid(*key, message, checked.trailer.signature)) {
        checked.finding = {record_damage::signature_invalid, "", 0, 0,
                           "the signature is not valid under key '" + header.key_id + "'"};
    } else if (header.written_at < key->valid_from || header.written_at >= key->valid_until) {
        checked.finding = {record_damage::key_not_valid, "", 0, 0,
                           "the segment was written outside the validity period of key '" +
                               header.key_id + "'"};
    }
}

record_verifier::segment_result record_verifier::check_segment(byte_source source) {
    segment_result checked;
    segment_reader reader(std::move(source));
    const auto format_error = [&] {
        if (!checked.finding) {
            checked.finding = {damage_of(reader.error()), "", 0, 0,
                               "the segment does not follow the format: " +
                                   std::string(state::to_name(reader.error()))};
        }
        return checked;
    };
    if (!reader.read_header(checked.header)) {
        return format_error();
    }

    // Checks header, entries and trailer.
    m_hash.add(reader.header_bytes());
    if (!m_hooks.link_matches(m_hash.finish(), reader.header_link())) {
        checked.finding = {record_damage::damaged_segment, "", 0, 0,
                           "the header does not match its link"};
        return checked;
    }
    auto link = reader.header_link();
    check_entries(reader, checked, link);
    if (reader.error() != segment_error::none || !reader.read_trailer(checked.trailer)) {
        return format_error();
    }

    // Computes the segment's digest and checks its signature.
    std::string fields;
    put_number(fields, checked.trailer.count);
    put_number(fields, static_cast<std::uint8_t>(checked.trailer.closed ? 1 : 0));
    m_hash.add(link);
    m_hash.add(fields);
    checked.digest = m_hash.finish();
    if (!checked.finding) {
        check_key(checked);
    }
    return checked;
}

void record_verifier::check_position(const std::string& name, segment_result& checked,
                                     chain_state& chain, std::uint64_t segment_number) {
    const auto& header = checked.header;
    const auto parsed_name = parse_segment_name(name);
    if (parsed_name && parsed_name->chain != header.chain) {
        checked.finding = {record_damage::foreign_segment, "", 0, 0,
                           "the segment belongs to chain '" + header.chain + "'"};
        return;
    }
    if (parsed_name && parsed_name->number != header.number) {
        const bool is_copy_of_previous = chain.digest_known && checked.digest == chain.digest;
        checked.finding = {is_copy_of_previous ? record_damage::duplicated_segment
                                               : record_damage::reordered_segment,
                           "", 0, 0,
                           "the segment's header has number " + std::to_string(header.number)};
        return;
    }
    if (segment_number < chain.next_number) {
        const bool was_missing = chain.missing_numbers.erase(segment_number) > 0;
        checked.finding = {was_missing ? record_damage::reordered_segment
                                       : record_damage::duplicated_segment,
                           "", 0, 0, "the segment follows one with a higher number"};
        return;
    }

    // Compares with the preceding segment and with the anchor.
    const bool adjacent = segment_number == chain.next_number && chain.digest_known;
    if (adjacent && !m_hooks.previous_digest_matches(chain.digest, header.previous_segment)) {
        checked.finding = {record_damage::re_signed_segment, "",
                           segment_number == 1 ? segment_number : segment_number - 1, 0,
                           "the digest in the header of segment " + std::to_string(segment_number) +
                               " differs from that of the preceding segment, although the "
                               "preceding segment's signature is valid"};
        return;
    }
    if (adjacent && !m_hooks.number_matches(chain.next_sequence, header.first_sequence)) {
        checked.finding = {record_damage::missing_entry, "", 0, chain.next_sequence,
                           "the entries do not continue those of the preceding segment"};
        return;
    }
    const auto* anchor = anchor_of(header.chain);
    if (anchor != nullptr && anchor->segment == segment_number &&
        !m_hooks.anchor_matches(anchor->digest, checked.digest)) {
        checked.finding = {record_damage::re_signed_segment, "", 0, 0,
                           "the digest differs from the anchor, although the signature is valid"};
    }
    if (m_inputs.anchors && (anchor == nullptr || anchor->segment < segment_number)) {
        ++m_summary.unanchored_segments;
    }
}

void record_verifier::verify_segment(const std::string& name, byte_source source) {
    count_absent_contents();
    ++m_summary.segments;
    auto checked = check_segment(std::move(source));
    m_last_header = checked.header;

    // Takes chain and number from the name if possible, because the header may be
    // damaged.
    const auto parsed_name = parse_segment_name(name);
    const auto chain_name = parsed_name ? parsed_name->chain : checked.header.chain;
    const auto segment_number = parsed_name ? parsed_name->number : checked.header.number;
    auto& chain = m_chains[chain_name];

    // Skipped numbers count as missing unless their segments follow later.
    if (segment_number > chain.next_number &&
        !m_hooks.number_matches(chain.next_number, segment_number)) {
        if (segment_number - chain.next_number <= max_tracked_gap) {
            for (auto number = chain.next_number; number < segment_number; ++number) {
                chain.missing_numbers.insert(number);
            }
        } else {
            report({record_damage::missing_segment, chain_name, chain.next_number, 0,
                    "the segments up to " + std::to_string(segment_number - 1) + " are missing"});
        }
    }
    if (!checked.finding) {
        check_position(name, checked, chain, segment_number);
    }
    const bool valid = !checked.finding;
    m_last_is_valid = valid;
    if (checked.finding) {
        checked.finding->chain = chain_name;
        if (checked.finding->segment == 0) {
            checked.finding->segment = segment_number;
        }
        report(std::move(*checked.finding));
    }
    if (segment_number >= chain.next_number) {
        chain.next_number = segment_number + 1;
        chain.next_sequence = checked.next_sequence;
        chain.digest_known = valid;
        chain.digest = checked.digest;
        chain.closed = checked.trailer.closed;
    }
}

void record_verifier::verify_content(const std::string& name, byte_source source) {
    // The content digests of a segment with a finding cannot be trusted.
    if (!m_last_is_valid) {
        return;
    }
    content_reader reader(std::move(source));
    record_finding finding{record_damage::damaged_content, m_last_header.chain,
                           m_last_header.number, 0, "content object '" + name + "' "};
    std::string chain;
    std::uint64_t number = 0;
    state::customer_id customer;
    if (!reader.read_header(chain, number, customer)) {
        finding.detail += "does not follow the format";
        report(std::move(finding));
        return;
    }
    if (chain != m_last_header.chain || number != m_last_header.number) {
        finding.damage = record_damage::foreign_content;
        finding.detail += "belongs to chain '" + chain + "' segment " + std::to_string(number);
        report(std::move(finding));
        return;
    }

    content_part part;
    while (reader.next(part)) {
        const auto row = m_expected_contents.find(part.sequence);
        if (row == m_expected_contents.end() || row->second.customer != customer) {
            finding.damage = record_damage::foreign_content;
            finding.entry = part.sequence;
            finding.detail += "holds content for an entry that has no content of this customer";
            report(std::move(finding));
            return;
        }
        m_hash.add(part.salt);
        m_hash.add(part.content);
        const auto computed = m_hash.finish();
        if (part.has_content && !m_hooks.content_matches(computed, row->second.digest)) {
            finding.entry = part.sequence;
            finding.detail += "does not match the entry's digest";
            report(finding);
            return;
        }
        m_summary.content_parts += part.has_content ? 1 : 0;
        m_summary.absent_parts += part.has_content ? 0 : 1;
        m_expected_contents.erase(row);
    }
    if (!reader.complete()) {
        finding.detail += "does not follow the format";
        report(std::move(finding));
    }
}

void record_verifier::count_absent_contents() {
    m_summary.absent_parts += m_expected_contents.size();
    m_expected_contents.clear();
}

record_summary record_verifier::finish() {
    count_absent_contents();

    // Reports chains and segments that the anchors record but the caller did not pass.
    for (const auto& [name, anchor] : m_anchors) {
        const auto chain = m_chains.find(name);
        if (chain == m_chains.end()) {
            report({record_damage::missing_chain, name, 0, 0,
                    "the anchors record " + std::to_string(anchor.segment) + " segments"});
        } else if (chain->second.next_number <= anchor.segment &&
                   !m_hooks.number_matches(anchor.segment + 1, chain->second.next_number)) {
            report({record_damage::missing_segment, name, chain->second.next_number, 0,
                    "the anchors record segments up to " + std::to_string(anchor.segment)});
        }
    }

    for (const auto& [name, chain] : m_chains) {
        m_summary.open_chains += chain.closed ? 0 : 1;
        for (const auto number : chain.missing_numbers) {
            report({record_damage::missing_segment, name, number, 0,
                    "later segments of the chain are present"});
        }
    }
    m_summary.chains = m_chains.size();
    return m_summary;
}

} // namespace savoryrelay::protocol
