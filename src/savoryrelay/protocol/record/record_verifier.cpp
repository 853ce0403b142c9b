// Checks of links, signatures, order, anchors and content.
#include "savoryrelay/protocol/record/record_verifier.h"

#include "savoryrelay/protocol/record/segment_encoder.h"

#include <algorithm>
#include <charconv>

namespace savoryrelay::protocol {
namespace {

using namespace record_format;

// A gap above this is reported as one range and not remembered number by
// number, so that a forged number cannot exhaust memory.
constexpr std::uint64_t max_remembered_gap = 4'096;

struct remedy_row {
    record_damage damage;
    std::string_view remedy;
};

constexpr std::string_view fetch_again =
    "fetch the segment from the object store again; if it is still found, keep it as evidence";
constexpr std::string_view check_keys =
    "obtain the published key list; a key that was never published is a forgery";

constexpr std::array remedies{
    remedy_row{record_damage::damaged_entry, fetch_again},
    remedy_row{record_damage::reordered_entry, fetch_again},
    remedy_row{record_damage::duplicated_entry, fetch_again},
    remedy_row{record_damage::missing_entry, fetch_again},
    remedy_row{record_damage::damaged_segment, fetch_again},
    remedy_row{record_damage::truncated_segment, fetch_again},
    remedy_row{record_damage::unsupported_version,
               "use a savoryrelayctl that reads this version of the format"},
    remedy_row{record_damage::reordered_segment, "give each segment the name of its own number"},
    remedy_row{record_damage::duplicated_segment, "remove the copy and fetch the named segment"},
    remedy_row{record_damage::missing_segment,
               "fetch the segment from the object store; if it is gone, ask who deleted it"},
    remedy_row{record_damage::missing_chain,
               "fetch the chain from the object store; if it is gone, ask who deleted it"},
    remedy_row{record_damage::foreign_segment, "move the segment to the folder of its own chain"},
    remedy_row{record_damage::resigned_segment,
               "treat the key as compromised and compare with the anchors in the table"},
    remedy_row{record_damage::signature_invalid, fetch_again},
    remedy_row{record_damage::unknown_key, check_keys},
    remedy_row{record_damage::key_not_valid, check_keys},
    remedy_row{record_damage::damaged_content,
               "fetch the content object again; the chain itself is not affected"},
    remedy_row{record_damage::foreign_content, "move the object beside its own segment"},
};

/// The chain and number that a name "<chain>/<number>.segment" gives.
struct segment_name {
    std::string chain;
    std::uint64_t number = 0;
};

std::optional<segment_name> parse_name(const std::string& name) {
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

// Notes how the sequences of a segment depart from their order.
class sequence_check {
public:
    explicit sequence_check(std::uint64_t first) : m_next(first) {}

    /// `is_copy`: the entry states the same link as the one before it.
    void add(std::uint64_t sequence, std::uint64_t position, bool is_copy) {
        m_displaced += sequence != position ? 1 : 0;
        m_copies += is_copy ? 1 : 0;
        if (sequence >= m_next) {
            m_skipped = sequence > m_next && m_skipped == 0 ? m_next : m_skipped;
            m_next = sequence + 1;
        } else if (m_skipped != 0 && sequence >= m_skipped) {
            m_reordered = m_reordered == 0 ? sequence : m_reordered;
        } else {
            m_duplicated = m_duplicated == 0 ? sequence : m_duplicated;
        }
    }

    /// Nothing when the entries are in order, or when a single sequence is off
    /// and a link is broken: moving or removing an entry displaces others, a
    /// damaged one does not.
    [[nodiscard]] std::optional<std::pair<record_damage, std::uint64_t>>
    departure(bool link_broken) const {
        if (m_displaced == 0 || (m_displaced == 1 && m_copies == 0 && link_broken)) {
            return std::nullopt;
        }
        if (m_reordered != 0) {
            return std::pair{record_damage::reordered_entry, m_reordered};
        }
        if (m_duplicated != 0) {
            return std::pair{record_damage::duplicated_entry, m_duplicated};
        }
        if (m_skipped != 0) {
            return std::pair{record_damage::missing_entry, m_skipped};
        }
        return std::nullopt;
    }

private:
    std::uint64_t m_next;
    std::uint64_t m_displaced = 0;
    std::uint64_t m_copies = 0;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_reordered = 0;
    std::uint64_t m_duplicated = 0;
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

record_verifier::record_verifier(verifier_material material, finding_hook on_finding,
                                 entry_hook on_entry, verifier_hooks hooks)
    : m_material(std::move(material)), m_on_finding(std::move(on_finding)),
      m_on_entry(std::move(on_entry)), m_hooks(std::move(hooks)) {
    for (const auto& anchor : m_material.anchors.value_or(std::vector<state::record_anchor>{})) {
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
    segment_item item;
    std::uint64_t position = checked.header.first_sequence;
    std::optional<std::uint64_t> broken;
    bool unreadable = false;
    while (reader.next(item)) {
        ++m_summary.entries;
        m_hash.add(link);
        m_hash.add(item.framed);
        if (!broken && !m_hooks.link_matches(m_hash.finish(), item.link)) {
            broken = position;
        } else if (broken) {
            static_cast<void>(m_hash.finish());
        }
        // Later entries are compared with the stated link, so that one damaged
        // entry does not hide them.
        const bool is_copy = link == item.link;
        link = item.link;

        const auto entry = state::collect([&] { return decode_entry(item.body()); });
        if (entry) {
            order.add(entry.value().sequence, position, is_copy);
            if (entry.value().content_digest) {
                m_contents[entry.value().sequence] = {*entry.value().content_digest,
                                                      entry.value().customer};
            }
            if (m_on_entry) {
                m_on_entry(checked.header, entry.value());
            }
        } else {
            unreadable = true;
            broken = broken ? broken : position;
        }
        ++position;
    }
    checked.next_sequence = position;

    const auto departure = order.departure(broken.has_value());
    if (departure && !unreadable) {
        checked.finding = {departure->first, "", 0, departure->second,
                           "the entries of the segment are not in their order"};
    } else if (broken) {
        checked.finding = {record_damage::damaged_entry, "", 0, *broken,
                           "the entry does not match its link in the chain"};
    }
}

void record_verifier::check_key(segment_result& checked) const {
    const auto& header = checked.header;
    const auto key =
        std::find_if(m_material.keys.begin(), m_material.keys.end(),
                     [&](const auto& candidate) { return candidate.id == header.key_id; });
    if (key == m_material.keys.end()) {
        checked.finding = {record_damage::unknown_key, "", 0, 0,
                           "key '" + header.key_id + "' is not in the list of public keys"};
        return;
    }
    std::string message(signature_domain);
    put_digest(message, checked.digest);
    if (!m_hooks.signature_valid(*key, message, checked.trailer.signature)) {
        checked.finding = {record_damage::signature_invalid, "", 0, 0,
                           "the signature is not one of key '" + header.key_id + "'"};
    } else if (header.written_at < key->valid_from || header.written_at >= key->valid_until) {
        checked.finding = {record_damage::key_not_valid, "", 0, 0,
                           "the segment was written outside the period of key '" + header.key_id +
                               "'"};
    }
}

record_verifier::segment_result record_verifier::check_segment(byte_source source) {
    segment_result checked;
    segment_reader reader(std::move(source));
    const auto framing = [&] {
        if (!checked.finding) {
            checked.finding = {damage_of(reader.error()), "", 0, 0,
                               "the segment does not follow the format: " +
                                   std::string(state::to_name(reader.error()))};
        }
        return checked;
    };
    if (!reader.read_header(checked.header)) {
        return framing();
    }

    // Header, entries, trailer.
    m_hash.add(reader.header_bytes());
    if (!m_hooks.link_matches(m_hash.finish(), reader.header_link())) {
        checked.finding = {record_damage::damaged_segment, "", 0, 0,
                           "the header does not match its link"};
        return checked;
    }
    auto link = reader.header_link();
    check_entries(reader, checked, link);
    if (reader.error() != segment_error::none || !reader.read_trailer(checked.trailer)) {
        return framing();
    }

    // Digest and signature.
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
                                     chain_state& chain, std::uint64_t position) {
    const auto& header = checked.header;
    const auto named = parse_name(name);
    if (named && named->chain != header.chain) {
        checked.finding = {record_damage::foreign_segment, "", 0, 0,
                           "the segment belongs to chain '" + header.chain + "'"};
        return;
    }
    if (named && named->number != header.number) {
        const bool copy = chain.digest_known && checked.digest == chain.digest;
        checked.finding = {copy ? record_damage::duplicated_segment
                                : record_damage::reordered_segment,
                           "", 0, 0, "the segment states number " + std::to_string(header.number)};
        return;
    }
    if (position < chain.next_number) {
        const bool late = chain.gaps.erase(position) > 0;
        checked.finding = {late ? record_damage::reordered_segment
                                : record_damage::duplicated_segment,
                           "", 0, 0, "the segment comes after a later one"};
        return;
    }

    // The segment before, and the anchor.
    const bool adjacent = position == chain.next_number && chain.digest_known;
    if (adjacent && !m_hooks.previous_matches(chain.digest, header.previous_segment)) {
        checked.finding = {record_damage::resigned_segment, "",
                           position == 1 ? position : position - 1, 0,
                           "segment " + std::to_string(position) +
                               " names another digest of the segment before, whose signature is "
                               "valid"};
        return;
    }
    if (adjacent && !m_hooks.number_follows(chain.next_sequence, header.first_sequence)) {
        checked.finding = {record_damage::missing_entry, "", 0, chain.next_sequence,
                           "the entries do not continue those of the segment before"};
        return;
    }
    const auto* anchor = anchor_of(header.chain);
    if (anchor != nullptr && anchor->segment == position &&
        !m_hooks.anchor_matches(anchor->digest, checked.digest)) {
        checked.finding = {record_damage::resigned_segment, "", 0, 0,
                           "the digest differs from the anchor, though the signature is valid"};
    }
    if (m_material.anchors && (anchor == nullptr || anchor->segment < position)) {
        ++m_summary.unanchored_segments;
    }
}

void record_verifier::verify_segment(const std::string& name, byte_source source) {
    end_contents();
    ++m_summary.segments;
    auto checked = check_segment(std::move(source));
    m_last_header = checked.header;

    // The name gives the place of a segment whose header cannot be trusted.
    const auto named = parse_name(name);
    const auto chain_name = named ? named->chain : checked.header.chain;
    const auto position = named ? named->number : checked.header.number;
    auto& chain = m_chains[chain_name];

    // Numbers that are passed over are missing, unless they come later.
    if (position > chain.next_number && !m_hooks.number_follows(chain.next_number, position)) {
        if (position - chain.next_number <= max_remembered_gap) {
            for (auto number = chain.next_number; number < position; ++number) {
                chain.gaps.insert(number);
            }
        } else {
            report({record_damage::missing_segment, chain_name, chain.next_number, 0,
                    "the segments up to " + std::to_string(position - 1) + " are missing"});
        }
    }
    if (!checked.finding) {
        check_position(name, checked, chain, position);
    }
    const bool sound = !checked.finding;
    m_last_sound = sound;
    if (checked.finding) {
        checked.finding->chain = chain_name;
        if (checked.finding->segment == 0) {
            checked.finding->segment = position;
        }
        report(std::move(*checked.finding));
    }
    if (position >= chain.next_number) {
        chain.next_number = position + 1;
        chain.next_sequence = checked.next_sequence;
        chain.digest_known = sound;
        chain.digest = checked.digest;
        chain.closed = checked.trailer.closed;
    }
}

void record_verifier::verify_content(const std::string& name, byte_source source) {
    // The digests of a segment with a finding of its own prove nothing.
    if (!m_last_sound) {
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
        const auto row = m_contents.find(part.sequence);
        if (row == m_contents.end() || row->second.customer != customer) {
            finding.damage = record_damage::foreign_content;
            finding.entry = part.sequence;
            finding.detail += "holds content of an entry that has none for it";
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
        m_contents.erase(row);
    }
    if (!reader.complete()) {
        finding.detail += "does not follow the format";
        report(std::move(finding));
    }
}

void record_verifier::end_contents() {
    m_summary.absent_parts += m_contents.size();
    m_contents.clear();
}

record_summary record_verifier::finish() {
    end_contents();

    // What the anchors name and nobody showed.
    for (const auto& [name, anchor] : m_anchors) {
        const auto chain = m_chains.find(name);
        if (chain == m_chains.end()) {
            report({record_damage::missing_chain, name, 0, 0,
                    "the anchors name " + std::to_string(anchor.segment) + " segments"});
        } else if (chain->second.next_number <= anchor.segment &&
                   !m_hooks.number_follows(anchor.segment + 1, chain->second.next_number)) {
            report({record_damage::missing_segment, name, chain->second.next_number, 0,
                    "the anchors name segments up to " + std::to_string(anchor.segment)});
        }
    }

    for (const auto& [name, chain] : m_chains) {
        m_summary.open_chains += chain.closed ? 0 : 1;
        for (const auto number : chain.gaps) {
            report({record_damage::missing_segment, name, number, 0,
                    "later segments of the chain are present"});
        }
    }
    m_summary.chains = m_chains.size();
    return m_summary;
}

} // namespace savoryrelay::protocol
