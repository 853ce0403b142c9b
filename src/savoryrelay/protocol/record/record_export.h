// The export file format, which holds segments, content objects, public keys and
// anchors in one stream.
#pragma once

#include "savoryrelay/protocol/record/segment_reader.h"

#include <functional>
#include <string>

namespace savoryrelay::protocol {

/// What a frame of an export file holds. The values are part of the format.
enum class export_kind : std::uint8_t { segment = 1, content = 2, keys = 3, anchors = 4 };

/// Header of a frame; `size` bytes of content follow it.
struct export_frame_header {
    export_kind kind = export_kind::segment;
    std::string name; ///< object name, empty for keys and anchors
    std::uint64_t size = 0;
};

/// Returns the bytes before the first frame: magic and version.
[[nodiscard]] std::string encode_export_start();
/// Returns the encoded header of a frame.
[[nodiscard]] std::string encode_export_frame_header(const export_frame_header& frame);
/// Returns the end tag, which follows the last frame.
[[nodiscard]] std::string encode_export_end();

/// Reads an export file frame by frame.
class export_reader {
public:
    explicit export_reader(byte_source source);

    /// Reads magic and version. Returns false if this is not an export file of
    /// version 1.
    bool read_start();
    /// Skips the rest of the current frame and reads the next frame's header.
    /// Returns false at the end of the file or on an error.
    bool next(export_frame_header& frame);
    /// Returns a source of the current frame's content, valid until the next call
    /// of `next`.
    [[nodiscard]] byte_source content();
    /// Returns true after the end tag was read and no bytes follow it.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    buffered_source m_source;
    std::uint64_t m_unread_bytes = 0;
    bool m_complete = false;
};

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::export_kind> {
    using k = savoryrelay::protocol::export_kind;
    static constexpr std::array rows{
        enum_name<k>{k::segment, "segment"},
        enum_name<k>{k::content, "content"},
        enum_name<k>{k::keys, "keys"},
        enum_name<k>{k::anchors, "anchors"},
    };
};
