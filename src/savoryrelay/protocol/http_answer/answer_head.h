// Strict check of the head of an HTTP/1.x answer, on its raw bytes: RFC 9112 sections 2 to 6 and
// RFC 9110 sections 5, 6, 8.6 and 15.
//
// Where the RFCs leave a choice, the check rejects:
// - A status line without the SP before its reason: RFC 9112 section 4 requires the SP even if
//   the reason is empty.
// - Empty lines before the status line: RFC 9112 section 2.2 allows them before requests only.
// - Folded lines, which RFC 9112 section 5.2 would let a client replace with blanks.
// - Status codes above 599, which RFC 9110 section 15 calls invalid, and 101, which answers a
//   request for an upgrade only.
// - Content-Length lists, and several such fields, unless all values are the same text.
// - Transfer-Encoding other than `chunked` alone, including codings before `chunked`.
// - Content-Length in an informational answer or with status 204, even if it is 0.
// - Transfer-Encoding beside Content-Length.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_defect.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// The most bytes of a head, with its empty line.
inline constexpr std::size_t max_head_bytes = 16 * 1024;

/// The kind of the request that an answer belongs to. An answer to HEAD has no body.
enum class request_kind { head, other };

/// How the end of an answer's body is found.
enum class body_framing {
    none,   ///< there is no body
    length, ///< after `length` bytes
    chunks, ///< after the last chunk
    close,  ///< at the end of the connection
};

/// What a head says about its answer. The other members hold only if there is no defect.
struct head_check {
    answer_defect defect = answer_defect::none;
    unsigned status = 0;
    body_framing framing = body_framing::none;
    std::uint64_t length = 0;          ///< bytes of the body, if `framing` is `length`
    bool keeps_connection = false;     ///< the peer keeps the connection open
    std::vector<std::string> trailers; ///< the field names that Trailer lists
};

/// Checks the bytes of a head from its status line through its empty line.
[[nodiscard]] head_check check_answer_head(std::string_view head, request_kind request);

} // namespace savoryrelay::protocol

namespace savoryrelay::state {

template <>
struct enum_table<protocol::body_framing> {
    using framing = protocol::body_framing;
    static constexpr std::array rows{
        enum_name<framing>{framing::none, "none"},
        enum_name<framing>{framing::length, "length"},
        enum_name<framing>{framing::chunks, "chunks"},
        enum_name<framing>{framing::close, "close"},
    };
};

template <>
struct enum_table<protocol::request_kind> {
    static constexpr std::array rows{
        enum_name<protocol::request_kind>{protocol::request_kind::head, "head"},
        enum_name<protocol::request_kind>{protocol::request_kind::other, "other"},
    };
};

} // namespace savoryrelay::state
