// Encodes and decodes the frames of an export file.
#include "savoryrelay/protocol/record/record_export.h"

#include <algorithm>

namespace savoryrelay::protocol {

using namespace record_format;

std::string encode_export_start() {
    std::string out(export_magic);
    put_number(out, version);
    return out;
}

std::string encode_export_frame_header(const export_frame_header& frame) {
    std::string out;
    put_number(out, static_cast<std::uint8_t>(frame.kind));
    put_text(out, frame.name);
    put_number(out, frame.size);
    return out;
}

std::string encode_export_end() {
    return std::string(1, end_tag);
}

export_reader::export_reader(byte_source source) : m_source(std::move(source)) {}

bool export_reader::read_start() {
    std::string start;
    if (!m_source.read(start, export_magic.size() + sizeof(version))) {
        return false;
    }
    return start == encode_export_start();
}

bool export_reader::next(export_frame_header& frame) {
    // Skips the content that the caller did not read.
    std::array<char, 4096> skipped{};
    auto unread = content();
    while (unread(skipped.data(), skipped.size()) > 0) {
    }
    if (m_unread_bytes > 0) {
        return false;
    }

    std::string field;
    if (!m_source.read(field, 1)) {
        return false;
    }
    if (field[0] == end_tag) {
        m_complete = m_source.at_end();
        return false;
    }
    const auto kind = static_cast<export_kind>(field[0]);
    const auto& rows = state::enum_table<export_kind>::rows;
    if (std::none_of(rows.begin(), rows.end(),
                     [&](const auto& row) { return row.value == kind; })) {
        return false;
    }
    frame.kind = kind;
    field.clear();
    if (!m_source.read(field, sizeof(std::uint16_t))) {
        return false;
    }
    frame.name.clear();
    if (!m_source.read(frame.name, byte_reader(field).number<std::uint16_t>())) {
        return false;
    }
    field.clear();
    if (!m_source.read(field, sizeof(std::uint64_t))) {
        return false;
    }
    frame.size = byte_reader(field).number<std::uint64_t>();
    m_unread_bytes = frame.size;
    return true;
}

byte_source export_reader::content() {
    return [this](char* buffer, std::size_t size) {
        const auto wanted = std::min<std::uint64_t>(size, m_unread_bytes);
        const auto count = m_source.read_some(buffer, static_cast<std::size_t>(wanted));
        m_unread_bytes -= count;
        return count;
    };
}

} // namespace savoryrelay::protocol
