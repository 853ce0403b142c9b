// Encodes and signs segments and encodes their content objects.
#include "savoryrelay/protocol/record/segment_encoder.h"

#include "savoryrelay/protocol/record/record_format.h"
#include "savoryrelay/protocol/record/sha256_stream.h"

#include <openssl/rand.h>

#include <algorithm>
#include <cassert>

namespace savoryrelay::protocol {
namespace {

using namespace record_format;
using state::failure_kind;

// Bytes reserved per entry, so that a segment's buffer is rarely reallocated.
constexpr std::size_t typical_entry_bytes = 256;

std::uint64_t to_number(state::wall_time time) {
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

void append_entry(std::string& out, const state::record_entry& entry) {
    put_number(out, static_cast<std::uint8_t>(entry.kind));
    put_number(out, entry.sequence);
    put_number(out, to_number(entry.at));
    put_number(out, entry.outcome ? static_cast<std::uint8_t>(*entry.outcome) : no_outcome);
    put_number(out, entry.from_revision);
    put_number(out, entry.to_revision);
    put_number(out, static_cast<std::uint8_t>(entry.content_digest ? 1 : 0));
    if (entry.content_digest) {
        put_digest(out, *entry.content_digest);
        put_number(out, entry.content_size);
    }
    put_text(out, entry.actor);
    put_text(out, entry.customer.value());
    put_text(out, entry.deployment.value());
    put_text(out, entry.request.value());
    put_text(out, entry.action);
    put_text(out, entry.subject);
    put_text(out, entry.result);
}

// Encodes the content objects of a segment, one for each customer.
class content_encoder {
public:
    content_encoder(const state::segment_header& header, const random_bytes_hook& random_bytes)
        : m_header(header), m_random_bytes(random_bytes) {}

    /// Sets the entry's content digest and size. Adds the salt to the customer's
    /// content object, and the content too if the entry's rule keeps it.
    [[nodiscard]] state::result<void> add(state::record_entry& entry) {
        std::string salt(salt_bytes, '\0');
        BOOST_LEAF_CHECK(m_random_bytes(salt.data(), salt.size()));
        m_hash.add(salt);
        m_hash.add(entry.content);
        entry.content_digest = m_hash.finish();
        entry.content_size = entry.content.size();

        auto& out = object_bytes_for(entry.customer);
        const bool keeps_content = entry.rule == state::record_rule::content;
        out.push_back(part_tag);
        put_number(out, entry.sequence);
        out.append(salt);
        put_number(out, static_cast<std::uint8_t>(keeps_content ? 1 : 0));
        if (keeps_content) {
            put_number(out, static_cast<std::uint32_t>(entry.content.size()));
            out.append(entry.content);
        }
        return {};
    }

    [[nodiscard]] std::vector<state::sealed_content> finish() {
        for (auto& object : m_objects) {
            object.bytes.push_back(end_tag);
        }
        return std::move(m_objects);
    }

private:
    std::string& object_bytes_for(const state::customer_id& customer) {
        const auto found =
            std::find_if(m_objects.begin(), m_objects.end(),
                         [&](const auto& object) { return object.customer == customer; });
        if (found != m_objects.end()) {
            return found->bytes;
        }
        std::string header_bytes(content_magic);
        put_number(header_bytes, version);
        put_text(header_bytes, m_header.chain);
        put_number(header_bytes, m_header.number);
        put_text(header_bytes, customer.value());
        return m_objects.emplace_back(state::sealed_content{customer, std::move(header_bytes)})
            .bytes;
    }

    const state::segment_header& m_header;
    const random_bytes_hook& m_random_bytes;
    sha256_stream m_hash;
    std::vector<state::sealed_content> m_objects;
};

} // namespace

state::result<void> openssl_random_bytes(char* buffer, std::size_t size) {
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buffer), static_cast<int>(size)) != 1) {
        return state::fail(failure_kind::internal, "OpenSSL could not generate random bytes");
    }
    return {};
}

std::string encode_entry(const state::record_entry& entry) {
    std::string body;
    append_entry(body, entry);
    return body;
}

std::string encode_header(const state::segment_header& header) {
    std::string out(segment_magic);
    put_number(out, version);
    put_text(out, header.chain);
    put_number(out, header.number);
    put_number(out, header.first_sequence);
    put_digest(out, header.previous_segment);
    put_text(out, header.key_id);
    put_number(out, to_number(header.written_at));
    return out;
}

state::result<state::record_entry> decode_entry(std::string_view body) {
    byte_reader in(body);
    state::record_entry entry;
    const auto kind = in.number<std::uint8_t>();
    entry.sequence = in.number<std::uint64_t>();
    const auto at = static_cast<std::int64_t>(in.number<std::uint64_t>());
    entry.at = state::wall_time(state::milliseconds(at));
    const auto outcome = in.number<std::uint8_t>();
    entry.from_revision = in.number<std::uint64_t>();
    entry.to_revision = in.number<std::uint64_t>();
    const auto has_digest = in.number<std::uint8_t>();
    if (has_digest == 1) {
        entry.content_digest = in.digest();
        entry.content_size = in.number<std::uint64_t>();
    }
    entry.actor = in.text();
    entry.customer = state::customer_id(in.text());
    entry.deployment = state::deployment_id(in.text());
    entry.request = state::request_id(in.text());
    entry.action = in.text();
    entry.subject = in.text();
    entry.result = in.text();

    const auto known = [](const auto& rows, std::uint8_t value) {
        return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
            return static_cast<std::uint8_t>(row.value) == value;
        });
    };
    if (!in.complete() || !known(state::enum_table<state::record_kind>::rows, kind) ||
        has_digest > 1 ||
        (outcome != no_outcome &&
         !known(state::enum_table<state::execution_outcome>::rows, outcome))) {
        return state::fail(failure_kind::record_damaged, "an entry does not follow the format");
    }
    entry.kind = static_cast<state::record_kind>(kind);
    if (outcome != no_outcome) {
        entry.outcome = static_cast<state::execution_outcome>(outcome);
    }
    return entry;
}

state::result<state::sealed_segment> seal_segment(state::segment_draft& draft,
                                                  const record_key_ring& keys,
                                                  const random_bytes_hook& random_bytes) {
    assert(draft.entries.size() <= max_entries);
    BOOST_LEAF_AUTO(key, keys.key_at(draft.header.written_at));
    draft.header.key_id = key->public_key().id;

    // The first link is the digest of the header. Each further link is the digest of
    // the previous link and of an entry's tag, length and body. The previous link and
    // the entry are adjacent in the buffer, so one call hashes both.
    state::sealed_segment sealed;
    sealed.bytes.reserve(draft.entries.size() * typical_entry_bytes);
    sealed.bytes += encode_header(draft.header);
    sha256_stream hash;
    hash.add(sealed.bytes);
    auto link = hash.finish();
    put_digest(sealed.bytes, link);
    content_encoder contents(draft.header, random_bytes);
    for (auto& entry : draft.entries) {
        if (entry.rule != state::record_rule::none) {
            BOOST_LEAF_CHECK(contents.add(entry));
        }
        const auto link_offset = sealed.bytes.size() - link.size();
        sealed.bytes.push_back(entry_tag);
        const auto length_offset = sealed.bytes.size();
        sealed.bytes.append(sizeof(std::uint32_t), '\0');
        append_entry(sealed.bytes, entry);
        const auto size = sealed.bytes.size() - length_offset - sizeof(std::uint32_t);
        set_number(sealed.bytes, length_offset, static_cast<std::uint32_t>(size));
        hash.add(std::string_view(sealed.bytes).substr(link_offset));
        link = hash.finish();
        put_digest(sealed.bytes, link);
    }

    // The segment's digest covers the last link and the trailer's fields. Through
    // the chain of links it covers all earlier bytes without hashing them again.
    std::string trailer;
    put_number(trailer, static_cast<std::uint32_t>(draft.entries.size()));
    put_number(trailer, static_cast<std::uint8_t>(draft.closed ? 1 : 0));
    hash.add(link);
    hash.add(trailer);
    sealed.digest = hash.finish();

    std::string message(signature_domain);
    put_digest(message, sealed.digest);
    BOOST_LEAF_AUTO(signature, key->sign(message));
    sealed.bytes.push_back(trailer_tag);
    sealed.bytes.append(trailer);
    for (const auto byte : signature) {
        sealed.bytes.push_back(static_cast<char>(byte));
    }
    sealed.contents = contents.finish();
    return sealed;
}

} // namespace savoryrelay::protocol
