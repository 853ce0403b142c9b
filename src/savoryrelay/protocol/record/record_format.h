// Constants and number encoding of version 1 of the segment format, which
// docs/record-format.md describes.
#pragma once

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryrelay::protocol::record_format {

inline constexpr std::string_view segment_magic = "SVRYREC\n";
inline constexpr std::string_view content_magic = "SVRYCNT\n";
inline constexpr std::string_view export_magic = "SVRYEXP\n";
inline constexpr std::uint16_t version = 1;

// Prefix of each signed message, so that a segment signature cannot be used as a
// signature of anything else made with the same key.
inline constexpr std::string_view signature_domain = "savoryrelay-record-segment-v1";

inline constexpr char entry_tag = 'E';
inline constexpr char trailer_tag = 'T';
inline constexpr char part_tag = 'P';
inline constexpr char end_tag = 'Z';

inline constexpr std::size_t signature_bytes = 64;
inline constexpr std::size_t salt_bytes = 16;
// Upper limits, so that a reader needs bounded memory.
inline constexpr std::uint32_t max_body_bytes = 65'536;
inline constexpr std::uint32_t max_entries = 65'536;
inline constexpr std::uint16_t max_text_bytes = 4'096;
inline constexpr std::uint32_t max_content_bytes = 64 * 1024 * 1024;

// Outcome byte of an entry without an outcome.
inline constexpr std::uint8_t no_outcome = 255;

/// Returns the bytes of `value` in network byte order.
template <std::unsigned_integral Number>
std::array<char, sizeof(Number)> to_bytes(Number value) {
    std::array<char, sizeof(Number)> bytes{};
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes[i] = static_cast<char>((value >> (8U * (sizeof(Number) - 1 - i))) & 0xFFU);
    }
    return bytes;
}

/// Overwrites the bytes at `offset` with `value` in network byte order.
template <std::unsigned_integral Number>
void set_number(std::string& out, std::size_t offset, Number value) {
    const auto bytes = to_bytes(value);
    std::copy(bytes.begin(), bytes.end(), out.begin() + static_cast<std::ptrdiff_t>(offset));
}

/// Appends `value` in network byte order.
template <std::unsigned_integral Number>
void put_number(std::string& out, Number value) {
    const auto bytes = to_bytes(value);
    out.append(bytes.data(), bytes.size());
}

/// Appends the length of `text` in 2 bytes, then the text.
inline void put_text(std::string& out, std::string_view text) {
    put_number(out, static_cast<std::uint16_t>(text.size()));
    out.append(text);
}

/// Appends the 32 bytes of a digest.
inline void put_digest(std::string& out, const state::sha256_digest& digest) {
    out.append(reinterpret_cast<const char*>(digest.data()), digest.size());
}

/// Decodes numbers, texts and digests from a byte string. A read past the end
/// returns zero or an empty text and makes `complete` return false.
class byte_reader {
public:
    explicit byte_reader(std::string_view bytes) : m_remaining(bytes) {}

    /// Returns the next `size` bytes, or an empty view if fewer are left.
    std::string_view take(std::size_t size) {
        if (size > m_remaining.size()) {
            m_failed = true;
            m_remaining = {};
            return {};
        }
        const auto taken = m_remaining.substr(0, size);
        m_remaining.remove_prefix(size);
        return taken;
    }
    template <std::unsigned_integral Number>
    Number number() {
        Number value = 0;
        for (const char byte : take(sizeof(Number))) {
            value =
                static_cast<Number>((std::uint64_t{value} << 8U) | static_cast<std::uint8_t>(byte));
        }
        return value;
    }
    std::string text() { return std::string(take(number<std::uint16_t>())); }
    state::sha256_digest digest() {
        state::sha256_digest value{};
        const auto bytes = take(value.size());
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            value[i] = static_cast<std::uint8_t>(bytes[i]);
        }
        return value;
    }
    /// Returns true if all bytes were read and no read went past the end.
    [[nodiscard]] bool complete() const { return !m_failed && m_remaining.empty(); }

private:
    std::string_view m_remaining;
    bool m_failed = false;
};

} // namespace savoryrelay::protocol::record_format
