// Strict check of the first line of a chunk and of the fields behind the last chunk: RFC 9112
// section 7.1.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_defect.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// The most bytes of a chunk's first line, with its CRLF.
inline constexpr std::size_t max_chunk_line_bytes = 4 * 1024;

/// The size of a chunk, or what is wrong with its first line.
struct chunk_line {
    answer_defect defect = answer_defect::none;
    std::uint64_t size = 0; ///< bytes; 0 for the last chunk
};

/// Reads a chunk's first line, without its CRLF: 1*HEXDIG and extensions. The extensions are
/// checked against their grammar and have no effect. White space around their `;` and `=`, which
/// RFC 9112 section 7.1.1 calls bad, is rejected.
[[nodiscard]] chunk_line read_chunk_line(std::string_view line);

/// Checks a line of the trailer section, without its CRLF. `announced` are the names that the
/// head's Trailer field lists.
[[nodiscard]] answer_defect check_trailer_line(std::string_view line,
                                               const std::vector<std::string>& announced);

} // namespace savoryrelay::protocol
