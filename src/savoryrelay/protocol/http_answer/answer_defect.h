// The ways in which an HTTP/1.x answer can break the grammar or the framing rules.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <array>

namespace savoryrelay::protocol {

/// What is wrong with an answer. An answer with a defect is not an answer: its sender may have
/// run the request, and nothing of it is passed on.
enum class answer_defect {
    none,
    not_an_answer,          ///< does not begin with "HTTP/"
    malformed_status_line,  ///< not "HTTP/d.d ddd reason"
    unsupported_version,    ///< neither HTTP/1.0 nor HTTP/1.1
    status_out_of_range,    ///< below 100 or above 599
    unrequested_upgrade,    ///< 101, although no request asks for it
    bare_line_end,          ///< CR or LF alone
    control_byte,           ///< a control byte other than HTAB in a reason or a value
    folded_line,            ///< a line that begins with white space
    malformed_field_name,   ///< no token, or not followed by a colon at once
    spliced_answer,         ///< the status line of another answer within a line
    head_too_large,         ///< above `max_head_bytes`
    too_many_heads,         ///< more informational heads than `max_informational_heads`
    malformed_connection,   ///< Connection or Proxy-Connection is not a list of tokens
    malformed_trailer_list, ///< Trailer is not a list of field names
    undecodable_coding,     ///< Transfer-Encoding is not exactly "chunked"
    coding_in_http_1_0,     ///< Transfer-Encoding in HTTP/1.0
    coding_and_length,      ///< both Transfer-Encoding and Content-Length
    malformed_length,       ///< Content-Length is not 1*DIGIT below 2^64
    conflicting_lengths,    ///< Content-Length values that are not identical
    framed_without_body,    ///< length or coding with a status that has no body: 1xx, 204
    content_in_reset,       ///< content with status 205
    malformed_chunk_size,   ///< not 1*HEXDIG
    chunk_size_overflow,    ///< a chunk size of 2^64 or more
    malformed_extension,    ///< a chunk extension that breaks the grammar
    chunk_line_too_long,    ///< above `max_chunk_line_bytes`
    unterminated_chunk,     ///< chunk data is not followed by CRLF
    unannounced_trailer,    ///< a trailer field that Trailer does not list
    forbidden_trailer,      ///< a trailer field for framing, routing, control or content format
    trailers_too_large,     ///< above `max_head_bytes`
    ended_early,            ///< the connection ended within the answer
    undecoded,              ///< the decoder rejects bytes that passed all checks
};

} // namespace savoryrelay::protocol

namespace savoryrelay::state {

template <>
struct enum_table<protocol::answer_defect> {
    using defect = protocol::answer_defect;
    static constexpr std::array rows{
        enum_name<defect>{defect::none, "none"},
        enum_name<defect>{defect::not_an_answer, "not_an_answer"},
        enum_name<defect>{defect::malformed_status_line, "malformed_status_line"},
        enum_name<defect>{defect::unsupported_version, "unsupported_version"},
        enum_name<defect>{defect::status_out_of_range, "status_out_of_range"},
        enum_name<defect>{defect::unrequested_upgrade, "unrequested_upgrade"},
        enum_name<defect>{defect::bare_line_end, "bare_line_end"},
        enum_name<defect>{defect::control_byte, "control_byte"},
        enum_name<defect>{defect::folded_line, "folded_line"},
        enum_name<defect>{defect::malformed_field_name, "malformed_field_name"},
        enum_name<defect>{defect::spliced_answer, "spliced_answer"},
        enum_name<defect>{defect::head_too_large, "head_too_large"},
        enum_name<defect>{defect::too_many_heads, "too_many_heads"},
        enum_name<defect>{defect::malformed_connection, "malformed_connection"},
        enum_name<defect>{defect::malformed_trailer_list, "malformed_trailer_list"},
        enum_name<defect>{defect::undecodable_coding, "undecodable_coding"},
        enum_name<defect>{defect::coding_in_http_1_0, "coding_in_http_1_0"},
        enum_name<defect>{defect::coding_and_length, "coding_and_length"},
        enum_name<defect>{defect::malformed_length, "malformed_length"},
        enum_name<defect>{defect::conflicting_lengths, "conflicting_lengths"},
        enum_name<defect>{defect::framed_without_body, "framed_without_body"},
        enum_name<defect>{defect::content_in_reset, "content_in_reset"},
        enum_name<defect>{defect::malformed_chunk_size, "malformed_chunk_size"},
        enum_name<defect>{defect::chunk_size_overflow, "chunk_size_overflow"},
        enum_name<defect>{defect::malformed_extension, "malformed_extension"},
        enum_name<defect>{defect::chunk_line_too_long, "chunk_line_too_long"},
        enum_name<defect>{defect::unterminated_chunk, "unterminated_chunk"},
        enum_name<defect>{defect::unannounced_trailer, "unannounced_trailer"},
        enum_name<defect>{defect::forbidden_trailer, "forbidden_trailer"},
        enum_name<defect>{defect::trailers_too_large, "trailers_too_large"},
        enum_name<defect>{defect::ended_early, "ended_early"},
        enum_name<defect>{defect::undecoded, "undecoded"},
    };
};

} // namespace savoryrelay::state
