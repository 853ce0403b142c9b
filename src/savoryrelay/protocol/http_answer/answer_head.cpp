// Implements the check of an answer's head.
#include "savoryrelay/protocol/http_answer/answer_head.h"

#include "savoryrelay/protocol/http_answer/field_syntax.h"

#include <charconv>
#include <optional>
#include <utility>

namespace savoryrelay::protocol {

namespace {

constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
constexpr unsigned reset_content = 205;
constexpr unsigned not_modified = 304;

// Collects what the fields of one head say, line by line.
class head_reader {
public:
    answer_defect read_status_line(std::string_view line);
    answer_defect read_field(std::string_view line);
    /// Decides how the body ends, after all lines.
    head_check finish(request_kind request);

private:
    answer_defect read_length(std::string_view value);
    answer_defect read_coding(std::string_view value);
    answer_defect read_connection(std::string_view value);
    answer_defect read_trailers(std::string_view value);
    [[nodiscard]] bool is_informational() const { return m_head.status < 200; }
    [[nodiscard]] answer_defect check_framing() const;

    head_check m_head;
    bool m_is_http_1_1 = false;
    bool m_closes = false;
    bool m_keeps_alive = false;
    bool m_is_chunked = false;
    std::optional<std::string_view> m_length_text; // the first Content-Length value
};

answer_defect head_reader::read_status_line(std::string_view line) {
    constexpr std::string_view name = "HTTP/";
    constexpr std::size_t status_at = name.size() + 4; // after "d.d "
    constexpr std::size_t reason_at = status_at + 4;   // after "ddd "
    if (!line.starts_with(name)) {
        return answer_defect::not_an_answer;
    }
    if (line.find('\r') != std::string_view::npos) {
        return answer_defect::bare_line_end;
    }
    if (line.size() < reason_at || !is_digit(line[5]) || line[6] != '.' || !is_digit(line[7]) ||
        line[8] != ' ' || line[reason_at - 1] != ' ') {
        return answer_defect::malformed_status_line;
    }
    const auto code = line.substr(status_at, 3);
    if (!std::all_of(code.begin(), code.end(), is_digit)) {
        return answer_defect::malformed_status_line;
    }
    const auto version = line.substr(name.size(), 3);
    if (version != "1.0" && version != "1.1") {
        return answer_defect::unsupported_version;
    }
    m_is_http_1_1 = version == "1.1";
    std::from_chars(code.data(), code.data() + code.size(), m_head.status);
    if (m_head.status < 100 || m_head.status > 599) {
        return answer_defect::status_out_of_range;
    }
    if (m_head.status == switching_protocols) {
        return answer_defect::unrequested_upgrade;
    }
    const auto reason = line.substr(reason_at);
    if (!is_text(reason)) {
        return answer_defect::control_byte;
    }
    return contains_status_line(reason) ? answer_defect::spliced_answer : answer_defect::none;
}

answer_defect head_reader::read_field(std::string_view line) {
    const auto field = read_field_line(line);
    if (field.defect != answer_defect::none) {
        return field.defect;
    }
    if (equals_ignoring_case(field.name, "Content-Length")) {
        return read_length(field.value);
    }
    if (equals_ignoring_case(field.name, "Transfer-Encoding")) {
        return read_coding(field.value);
    }
    if (equals_ignoring_case(field.name, "Connection") ||
        equals_ignoring_case(field.name, "Proxy-Connection")) {
        return read_connection(field.value);
    }
    if (equals_ignoring_case(field.name, "Trailer")) {
        return read_trailers(field.value);
    }
    return answer_defect::none;
}

answer_defect head_reader::read_length(std::string_view value) {
    for (const auto element : split_list(value)) {
        std::uint64_t length = 0;
        const auto* end = element.data() + element.size();
        const auto parsed = std::from_chars(element.data(), end, length);
        // from_chars takes a sign for signed types only.
        if (element.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
            return answer_defect::malformed_length;
        }
        if (m_length_text && *m_length_text != element) {
            return answer_defect::conflicting_lengths;
        }
        m_length_text = element;
        m_head.length = length;
    }
    return answer_defect::none;
}

answer_defect head_reader::read_coding(std::string_view value) {
    if (m_is_chunked || !equals_ignoring_case(value, "chunked")) {
        return answer_defect::undecodable_coding;
    }
    m_is_chunked = true;
    return answer_defect::none;
}

answer_defect head_reader::read_connection(std::string_view value) {
    const auto options = split_tokens(value);
    if (!options) {
        return answer_defect::malformed_connection;
    }
    for (const auto option : *options) {
        m_closes = m_closes || equals_ignoring_case(option, "close");
        m_keeps_alive = m_keeps_alive || equals_ignoring_case(option, "keep-alive");
    }
    return answer_defect::none;
}

answer_defect head_reader::read_trailers(std::string_view value) {
    const auto names = split_tokens(value);
    if (!names) {
        return answer_defect::malformed_trailer_list;
    }
    m_head.trailers.insert(m_head.trailers.end(), names->begin(), names->end());
    return answer_defect::none;
}

answer_defect head_reader::check_framing() const {
    if (m_is_chunked && !m_is_http_1_1) {
        return answer_defect::coding_in_http_1_0;
    }
    if (m_is_chunked && m_length_text) {
        return answer_defect::coding_and_length;
    }
    // Servers often state a length of 0 with 204, which leaves no doubt about the end.
    const bool has_harmless_length = m_head.status == no_content && m_head.length == 0;
    if ((is_informational() || m_head.status == no_content) &&
        (m_is_chunked || (m_length_text && !has_harmless_length))) {
        return answer_defect::framed_without_body;
    }
    // RFC 9110 section 15.3.6 allows a length of 0 and an empty chunked body.
    if (m_head.status == reset_content && m_head.length > 0) {
        return answer_defect::content_in_reset;
    }
    return answer_defect::none;
}

head_check head_reader::finish(request_kind request) {
    m_head.defect = check_framing();
    if (request == request_kind::head || is_informational() || m_head.status == no_content ||
        m_head.status == not_modified) {
        m_head.framing = body_framing::none;
    } else if (m_is_chunked) {
        m_head.framing = body_framing::chunks;
    } else if (m_length_text) {
        m_head.framing = body_framing::length;
    } else {
        m_head.framing = body_framing::close;
    }
    m_head.keeps_connection =
        !m_closes && (m_is_http_1_1 || m_keeps_alive) && m_head.framing != body_framing::close;
    return std::move(m_head);
}

// Removes the first line with its CRLF from `text` and returns it without, or nothing if there
// is no line or an LF without CR ends it.
std::optional<std::string_view> take_line(std::string_view& text) {
    const auto end = text.find('\n');
    if (end == std::string_view::npos || end == 0 || text[end - 1] != '\r') {
        return std::nullopt;
    }
    const auto line = text.substr(0, end - 1);
    text.remove_prefix(end + 1);
    return line;
}

head_check failed_with(answer_defect defect) {
    head_check head;
    head.defect = defect;
    return head;
}

} // namespace

head_check check_answer_head(std::string_view head, request_kind request) {
    if (head.size() > max_head_bytes) {
        return failed_with(answer_defect::head_too_large);
    }
    head_reader reader;
    bool is_first = true;
    while (true) {
        const auto line = take_line(head);
        if (!line) {
            return failed_with(answer_defect::bare_line_end);
        }
        if (line->empty() && !is_first) {
            break;
        }
        const auto defect = is_first ? reader.read_status_line(*line) : reader.read_field(*line);
        if (defect != answer_defect::none) {
            return failed_with(defect);
        }
        is_first = false;
    }
    return reader.finish(request);
}

} // namespace savoryrelay::protocol
