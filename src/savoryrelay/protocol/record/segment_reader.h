// Streaming decoder of segments in bounded memory.
#pragma once

#include "savoryrelay/protocol/record/record_format.h"
#include "savoryrelay/protocol/record/record_keys.h"
#include "savoryrelay/protocol/record/sha256_stream.h"
#include "savoryrelay/state/record/record_entry.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// Reads up to `size` bytes into `buffer` and returns their count; 0 at the end.
using byte_source = std::function<std::size_t(char* buffer, std::size_t size)>;

/// A source over bytes in memory, which must outlive it.
[[nodiscard]] byte_source memory_source(std::string_view bytes);

/// Reads exact numbers of bytes through a buffer of 64 KiB.
class buffered_source {
public:
    explicit buffered_source(byte_source source);

    /// Appends `size` bytes to `out`. False when the source ends before.
    bool read(std::string& out, std::size_t size);
    /// Reads up to `size` bytes into `out` and returns their count; 0 at the end.
    std::size_t read_some(char* out, std::size_t size);
    /// True when no byte is left.
    bool at_end();

private:
    bool refill();

    byte_source m_source;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

/// Why a segment could not be read to its end.
enum class segment_error { none, truncated, malformed, unsupported_version };

/// What follows the entries.
struct segment_trailer {
    std::uint32_t count = 0;
    bool closed = false;
    std::string signature;
};

/// An entry with the link that the segment states for it.
struct segment_item {
    std::string framed; ///< tag, length and body, which the link covers
    state::sha256_digest link{};

    /// The encoded entry.
    [[nodiscard]] std::string_view body() const {
        return std::string_view(framed).substr(frame_bytes);
    }
    static constexpr std::size_t frame_bytes = 1 + sizeof(std::uint32_t);
};

/// Reads one segment front to back. It checks the framing only; links, order
/// and signature are checked by the verifier.
class segment_reader {
public:
    explicit segment_reader(byte_source source);

    /// Reads the header. False: see `error`.
    bool read_header(state::segment_header& header);
    /// The header's bytes, which the first link covers.
    [[nodiscard]] const std::string& header_bytes() const { return m_header_bytes; }
    /// The link that follows the header.
    [[nodiscard]] const state::sha256_digest& header_link() const { return m_header_link; }
    /// Reads the next entry. False at the trailer or at an error.
    bool next(segment_item& item);
    /// Reads the trailer after `next` returned false without an error.
    bool read_trailer(segment_trailer& trailer);
    [[nodiscard]] segment_error error() const { return m_error; }

private:
    bool stop(segment_error error);
    bool read_text(std::string& text);
    bool read_link(state::sha256_digest& link);

    buffered_source m_source;
    std::string m_header_bytes;
    state::sha256_digest m_header_link{};
    std::string m_field;
    std::uint32_t m_entries = 0;
    segment_error m_error = segment_error::none;
};

/// One customer's part of a content object.
struct content_part {
    std::uint64_t sequence = 0;
    std::string salt;
    bool has_content = false; ///< false: only the salt is kept
    std::string content;
};

/// Reads a content object part by part; a part's content is held in memory.
class content_reader {
public:
    explicit content_reader(byte_source source);

    /// Reads chain, segment number and customer. False when malformed.
    bool read_header(std::string& chain, std::uint64_t& number, state::customer_id& customer);
    /// Reads the next part. False at the end or at an error.
    bool next(content_part& part);
    /// True when the object was read to its end without an error.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    bool read_text(std::string& text);

    buffered_source m_source;
    std::string m_field;
    bool m_complete = false;
};

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::segment_error> {
    using e = savoryrelay::protocol::segment_error;
    static constexpr std::array rows{
        enum_name<e>{e::none, "none"},
        enum_name<e>{e::truncated, "truncated"},
        enum_name<e>{e::malformed, "malformed"},
        enum_name<e>{e::unsupported_version, "unsupported_version"},
    };
};
