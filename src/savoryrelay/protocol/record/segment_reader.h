// Streaming decoders of segments and content objects, in bounded memory.
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

/// A hook that reads up to `size` bytes into `buffer` and returns their count, which
/// is 0 at the end.
using byte_source = std::function<std::size_t(char* buffer, std::size_t size)>;

/// Returns a source that reads from `bytes`, which must outlive it.
[[nodiscard]] byte_source memory_source(std::string_view bytes);

/// Reads from a source through a buffer of 64 KiB.
class buffered_source {
public:
    explicit buffered_source(byte_source source);

    /// Appends `size` bytes to `out`. Returns false if the source ends first.
    bool read(std::string& out, std::size_t size);
    /// Reads up to `size` bytes into `out` and returns their count; 0 at the end.
    std::size_t read_some(char* out, std::size_t size);
    /// Returns true if no byte is left.
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

/// The end of a segment, after its entries.
struct segment_trailer {
    std::uint32_t count = 0;
    bool closed = false;
    std::string signature;
};

/// An encoded entry and the link that the segment stores after it. The link is the digest
/// of the previous link and `frame`.
struct encoded_entry {
    std::string frame; ///< tag, length and body
    state::sha256_digest link{};

    /// Returns the encoded entry.
    [[nodiscard]] std::string_view body() const {
        return std::string_view(frame).substr(frame_header_bytes);
    }
    static constexpr std::size_t frame_header_bytes = 1 + sizeof(std::uint32_t);
};

/// Reads one segment from start to end. Checks only the framing; `record_verifier`
/// checks links, order and signature.
class segment_reader {
public:
    explicit segment_reader(byte_source source);

    /// Reads the header. On failure returns false and sets `error`.
    bool read_header(state::segment_header& header);
    /// Returns the encoded header, which the header's link covers.
    [[nodiscard]] const std::string& header_bytes() const { return m_header_bytes; }
    /// Returns the link stored after the header.
    [[nodiscard]] const state::sha256_digest& header_link() const { return m_header_link; }
    /// Reads the next entry. Returns false at the trailer or on an error.
    bool next(encoded_entry& item);
    /// Reads the trailer after `next` returned false without an error.
    bool read_trailer(segment_trailer& trailer);
    [[nodiscard]] segment_error error() const { return m_error; }

private:
    bool set_error(segment_error error);
    bool read_text(std::string& text);
    bool read_link(state::sha256_digest& link);

    buffered_source m_source;
    std::string m_header_bytes;
    state::sha256_digest m_header_link{};
    std::string m_field;
    std::uint32_t m_entry_count = 0;
    segment_error m_error = segment_error::none;
};

/// A part of a content object: the salt and, if it is kept, the content of one entry.
struct content_part {
    std::uint64_t sequence = 0;
    std::string salt;
    bool has_content = false; ///< if false, only the salt is stored
    std::string content;
};

/// Reads a content object part by part. Only the current part is in memory.
class content_reader {
public:
    explicit content_reader(byte_source source);

    /// Reads chain, segment number and customer. Returns false if malformed.
    bool read_header(std::string& chain, std::uint64_t& number, state::customer_id& customer);
    /// Reads the next part. Returns false at the end or on an error.
    bool next(content_part& part);
    /// Returns true after the object was read to its end without an error.
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
