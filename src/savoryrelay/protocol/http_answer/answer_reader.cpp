// Implements the reader of answers.
#include "savoryrelay/protocol/http_answer/answer_reader.h"

#include "savoryrelay/protocol/http_answer/chunk_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace savoryrelay::protocol {

namespace {

constexpr std::string_view answer_begin = "HTTP/";
constexpr std::string_view line_end = "\r\n";
constexpr unsigned reset_content = 205;

// Returns whether `bytes` can be the first bytes of an answer.
bool can_begin_answer(std::string_view bytes) {
    const auto size = std::min(bytes.size(), answer_begin.size());
    return bytes.substr(0, size) == answer_begin.substr(0, size);
}

} // namespace

void answer_reader::fail(answer_defect defect) {
    m_stage = reading_stage::defective;
    m_defect = defect;
}

std::size_t answer_reader::collect_line(std::string_view bytes, std::size_t limit,
                                        answer_defect too_long) {
    const auto end = bytes.find('\n');
    const auto size = end == std::string_view::npos ? bytes.size() : end + 1;
    const auto allowed = std::min(size, limit + 1 - m_line.size());
    m_line.append(bytes.substr(0, allowed));
    if (m_line.size() > limit) {
        fail(too_long);
    } else if (has_line() && !m_line.ends_with(line_end)) {
        fail(answer_defect::bare_line_end);
    }
    return allowed;
}

std::size_t answer_reader::read_head(std::string_view bytes) {
    std::size_t consumed = 0;
    while (m_stage == reading_stage::head && consumed < bytes.size()) {
        consumed +=
            collect_line(bytes.substr(consumed), max_head_bytes, answer_defect::head_too_large);
        if (m_stage != reading_stage::head) {
            break;
        }
        if (!can_begin_answer(m_line)) {
            fail(answer_defect::not_an_answer);
        } else if (has_line()) {
            const bool is_empty_line = m_line.size() == m_line_begin + line_end.size();
            m_line_begin = m_line.size();
            if (is_empty_line) {
                finish_head();
            }
        }
    }
    return consumed;
}

void answer_reader::finish_head() {
    m_head = check_answer_head(m_line, m_request);
    if (m_head.defect != answer_defect::none) {
        return fail(m_head.defect);
    }
    if (m_head.status < 200) {
        m_line.clear();
        m_line_begin = 0;
        if (++m_informational_heads > max_informational_heads) {
            fail(answer_defect::too_many_heads);
        }
        return;
    }
    m_decoder.emplace();
    m_decoder->header_limit(std::numeric_limits<std::uint32_t>::max()); // checked above
    m_decoder->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_decoder->skip(m_request == request_kind::head);
    decode(m_line);
    m_line.clear();
    if (m_stage == reading_stage::defective) {
        return;
    }
    m_left = m_head.framing == body_framing::length ? m_head.length : 0;
    const bool has_body = m_head.framing == body_framing::chunks ||
                          m_head.framing == body_framing::close || m_left > 0;
    m_stage = has_body ? reading_stage::body : reading_stage::complete;
}

answer_reader::progress answer_reader::read_body(std::string_view bytes, std::span<char> out) {
    progress total;
    while (m_stage == reading_stage::body && total.consumed < bytes.size()) {
        const auto rest = bytes.substr(total.consumed);
        const bool is_chunked = m_head.framing == body_framing::chunks;
        if (is_chunked && m_chunk_part != chunk_part::data) {
            total.consumed += read_chunk_framing(rest);
            continue;
        }
        const auto room = out.subspan(total.produced);
        if (room.empty()) {
            break;
        }
        const auto [consumed, produced] =
            is_chunked ? read_chunk_data(rest, room) : read_plain(rest, room);
        total.consumed += consumed;
        total.produced += produced;
    }
    return total;
}

answer_reader::progress answer_reader::read_plain(std::string_view bytes, std::span<char> out) {
    if (m_head.status == reset_content) {
        fail(answer_defect::content_in_reset);
        return {};
    }
    const bool has_length = m_head.framing == body_framing::length;
    auto size = std::min(bytes.size(), out.size());
    if (has_length) {
        size = static_cast<std::size_t>(std::min<std::uint64_t>(size, m_left));
        m_left -= size;
    }
    decode(bytes.substr(0, size), out);
    if (has_length && m_left == 0 && m_stage == reading_stage::body) {
        m_stage = reading_stage::complete;
    }
    return {size, size};
}

answer_reader::progress answer_reader::read_chunk_data(std::string_view bytes,
                                                       std::span<char> out) {
    auto size = std::min(bytes.size(), out.size());
    size = static_cast<std::size_t>(std::min<std::uint64_t>(size, m_left));
    m_left -= size;
    decode(bytes.substr(0, size), out);
    if (m_left == 0) {
        m_chunk_part = chunk_part::data_end;
    }
    return {size, size};
}

std::size_t answer_reader::read_chunk_framing(std::string_view bytes) {
    if (m_chunk_part == chunk_part::data_end) {
        m_line += bytes.front();
        if (!line_end.starts_with(m_line)) {
            fail(answer_defect::unterminated_chunk);
        } else if (m_line == line_end) {
            m_line.clear();
            m_chunk_part = chunk_part::line;
        }
        return 1;
    }
    const bool is_trailer = m_chunk_part == chunk_part::trailers;
    const auto consumed =
        is_trailer ? collect_line(bytes, max_head_bytes - m_trailer_bytes,
                                  answer_defect::trailers_too_large)
                   : collect_line(bytes, max_chunk_line_bytes, answer_defect::chunk_line_too_long);
    if (m_stage == reading_stage::body && has_line()) {
        if (is_trailer) {
            finish_trailer_line();
        } else {
            finish_chunk_line();
        }
        m_line.clear();
    }
    return consumed;
}

void answer_reader::finish_chunk_line() {
    const std::string_view line(m_line);
    const auto chunk = read_chunk_line(line.substr(0, line.size() - line_end.size()));
    if (chunk.defect != answer_defect::none) {
        return fail(chunk.defect);
    }
    if (chunk.size == 0) {
        m_chunk_part = chunk_part::trailers;
        return;
    }
    if (m_head.status == reset_content) {
        return fail(answer_defect::content_in_reset);
    }
    // The decoder gets the size alone, behind the CRLF of the chunk before.
    std::array<char, 16> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), chunk.size, 16);
    std::string checked(m_has_chunk ? line_end : std::string_view{});
    checked.append(digits.data(), written.ptr);
    checked += line_end;
    decode(checked);
    m_has_chunk = true;
    m_left = chunk.size;
    m_chunk_part = chunk_part::data;
}

void answer_reader::finish_trailer_line() {
    const std::string_view line(m_line);
    if (line != line_end) {
        m_trailer_bytes += line.size();
        const auto defect =
            check_trailer_line(line.substr(0, line.size() - line_end.size()), m_head.trailers);
        if (defect != answer_defect::none) {
            fail(defect);
        }
        return;
    }
    // The trailer fields stay out of the decoder, which would add them to those of the head.
    decode(m_has_chunk ? "\r\n0\r\n\r\n" : "0\r\n\r\n");
    if (m_stage == reading_stage::body) {
        m_stage = reading_stage::complete;
    }
}

void answer_reader::end_connection() {
    if (m_stage == reading_stage::body && m_head.framing == body_framing::close) {
        m_stage = reading_stage::complete;
    } else if (m_stage == reading_stage::head || m_stage == reading_stage::body) {
        fail(answer_defect::ended_early);
    }
}

void answer_reader::decode(std::string_view bytes, std::span<char> out) {
    auto& body = m_decoder->get().body();
    body.data = out.data();
    body.size = out.size();
    while (!bytes.empty()) {
        boost::system::error_code failed;
        const auto taken = m_decoder->put({bytes.data(), bytes.size()}, failed);
        bytes.remove_prefix(taken);
        if (failed || taken == 0) {
            return fail(answer_defect::undecoded);
        }
    }
}

} // namespace savoryrelay::protocol
