// Reads the frames of segments and content objects.
#include "savoryrelay/protocol/record/segment_reader.h"

#include <algorithm>
#include <cstring>

namespace savoryrelay::protocol {
namespace {

using namespace record_format;

constexpr std::size_t buffer_bytes = 65'536;

} // namespace

byte_source memory_source(std::string_view bytes) {
    return [remaining = bytes](char* buffer, std::size_t size) mutable {
        const auto count = std::min(size, remaining.size());
        std::memcpy(buffer, remaining.data(), count);
        remaining.remove_prefix(count);
        return count;
    };
}

buffered_source::buffered_source(byte_source source)
    : m_source(std::move(source)), m_buffer(buffer_bytes) {}

bool buffered_source::refill() {
    if (m_begin == m_end) {
        m_begin = 0;
        m_end = m_source(m_buffer.data(), m_buffer.size());
    }
    return m_begin < m_end;
}

bool buffered_source::read(std::string& out, std::size_t size) {
    while (size > 0) {
        if (!refill()) {
            return false;
        }
        const auto count = std::min(size, m_end - m_begin);
        out.append(m_buffer.data() + m_begin, count);
        m_begin += count;
        size -= count;
    }
    return true;
}

std::size_t buffered_source::read_some(char* out, std::size_t size) {
    if (!refill()) {
        return 0;
    }
    const auto count = std::min(size, m_end - m_begin);
    std::memcpy(out, m_buffer.data() + m_begin, count);
    m_begin += count;
    return count;
}

bool buffered_source::at_end() {
    return !refill();
}

segment_reader::segment_reader(byte_source source) : m_source(std::move(source)) {}

bool segment_reader::set_error(segment_error error) {
    m_error = error;
    return false;
}

bool segment_reader::read_text(std::string& text) {
    std::string length;
    if (!m_source.read(length, sizeof(std::uint16_t))) {
        return set_error(segment_error::truncated);
    }
    const auto size = byte_reader(length).number<std::uint16_t>();
    if (size > max_text_bytes) {
        return set_error(segment_error::malformed);
    }
    text.clear();
    if (!m_source.read(text, size)) {
        return set_error(segment_error::truncated);
    }
    m_header_bytes.append(length).append(text);
    return true;
}

bool segment_reader::read_header(state::segment_header& header) {
    // Checks magic and version first, to tell a segment of another version from a
    // damaged one.
    constexpr std::size_t start_bytes = segment_magic.size() + sizeof(version);
    if (!m_source.read(m_header_bytes, start_bytes)) {
        return set_error(segment_error::truncated);
    }
    byte_reader start(m_header_bytes);
    if (start.take(segment_magic.size()) != segment_magic) {
        return set_error(segment_error::malformed);
    }
    if (start.number<std::uint16_t>() != version) {
        return set_error(segment_error::unsupported_version);
    }

    if (!read_text(header.chain)) {
        return false;
    }
    constexpr std::size_t fixed_fields_bytes =
        2 * sizeof(std::uint64_t) + sizeof(state::sha256_digest);
    std::string fixed_fields;
    if (!m_source.read(fixed_fields, fixed_fields_bytes)) {
        return set_error(segment_error::truncated);
    }
    m_header_bytes.append(fixed_fields);
    byte_reader fields(fixed_fields);
    header.number = fields.number<std::uint64_t>();
    header.first_sequence = fields.number<std::uint64_t>();
    header.previous_segment = fields.digest();

    std::string time;
    if (!read_text(header.key_id)) {
        return false;
    }
    if (!m_source.read(time, sizeof(std::uint64_t))) {
        return set_error(segment_error::truncated);
    }
    m_header_bytes.append(time);
    const auto written = static_cast<std::int64_t>(byte_reader(time).number<std::uint64_t>());
    header.written_at = state::wall_time(state::milliseconds(written));
    return read_link(m_header_link);
}

bool segment_reader::read_link(state::sha256_digest& link) {
    m_field.clear();
    if (!m_source.read(m_field, link.size())) {
        return set_error(segment_error::truncated);
    }
    std::memcpy(link.data(), m_field.data(), link.size());
    return true;
}

bool segment_reader::next(encoded_entry& item) {
    item.frame.clear();
    if (!m_source.read(item.frame, 1)) {
        return set_error(segment_error::truncated);
    }
    if (item.frame[0] == trailer_tag) {
        return false;
    }
    if (item.frame[0] != entry_tag || m_entry_count == max_entries) {
        return set_error(segment_error::malformed);
    }
    ++m_entry_count;
    if (!m_source.read(item.frame, sizeof(std::uint32_t))) {
        return set_error(segment_error::truncated);
    }
    const auto size = byte_reader(std::string_view(item.frame).substr(1)).number<std::uint32_t>();
    if (size > max_body_bytes) {
        return set_error(segment_error::malformed);
    }
    if (!m_source.read(item.frame, size)) {
        return set_error(segment_error::truncated);
    }
    return read_link(item.link);
}

bool segment_reader::read_trailer(segment_trailer& trailer) {
    m_field.clear();
    if (!m_source.read(m_field, sizeof(std::uint32_t) + 1)) {
        return set_error(segment_error::truncated);
    }
    byte_reader fields(m_field);
    trailer.count = fields.number<std::uint32_t>();
    const auto closed = fields.number<std::uint8_t>();
    trailer.closed = closed == 1;
    trailer.signature.clear();
    if (!m_source.read(trailer.signature, signature_bytes)) {
        return set_error(segment_error::truncated);
    }
    if (closed > 1 || trailer.count != m_entry_count || !m_source.at_end()) {
        return set_error(segment_error::malformed);
    }
    return true;
}

content_reader::content_reader(byte_source source) : m_source(std::move(source)) {}

bool content_reader::read_text(std::string& text) {
    m_field.clear();
    text.clear();
    return m_source.read(m_field, sizeof(std::uint16_t)) &&
           m_source.read(text, byte_reader(m_field).number<std::uint16_t>());
}

bool content_reader::read_header(std::string& chain, std::uint64_t& number,
                                 state::customer_id& customer) {
    std::string start;
    if (!m_source.read(start, content_magic.size() + sizeof(version))) {
        return false;
    }
    byte_reader fields(start);
    if (fields.take(content_magic.size()) != content_magic ||
        fields.number<std::uint16_t>() != version || !read_text(chain)) {
        return false;
    }
    m_field.clear();
    if (!m_source.read(m_field, sizeof(std::uint64_t))) {
        return false;
    }
    number = byte_reader(m_field).number<std::uint64_t>();
    std::string name;
    if (!read_text(name)) {
        return false;
    }
    customer = state::customer_id(std::move(name));
    return true;
}

bool content_reader::next(content_part& part) {
    m_field.clear();
    if (!m_source.read(m_field, 1)) {
        return false;
    }
    if (m_field[0] != part_tag) {
        m_complete = m_field[0] == end_tag && m_source.at_end();
        return false;
    }
    m_field.clear();
    part.salt.clear();
    part.content.clear();
    if (!m_source.read(m_field, sizeof(std::uint64_t)) || !m_source.read(part.salt, salt_bytes)) {
        return false;
    }
    part.sequence = byte_reader(m_field).number<std::uint64_t>();
    m_field.clear();
    if (!m_source.read(m_field, 1) || static_cast<std::uint8_t>(m_field[0]) > 1) {
        return false;
    }
    part.has_content = m_field[0] == 1;
    if (!part.has_content) {
        return true;
    }
    m_field.clear();
    if (!m_source.read(m_field, sizeof(std::uint32_t))) {
        return false;
    }
    const auto size = byte_reader(m_field).number<std::uint32_t>();
    return size <= max_content_bytes && m_source.read(part.content, size);
}

} // namespace savoryrelay::protocol
