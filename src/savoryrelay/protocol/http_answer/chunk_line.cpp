// Implements the checks of chunk lines and trailer fields.
#include "savoryrelay/protocol/http_answer/chunk_line.h"

#include "savoryrelay/protocol/http_answer/field_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace savoryrelay::protocol {

namespace {

// Fields that RFC 9110 section 6.5.1 keeps out of trailers: message framing, routing,
// authentication, controls and content format.
constexpr std::array<std::string_view, 41> forbidden_trailers{"Accept-Ranges",
                                                              "Age",
                                                              "Authorization",
                                                              "Cache-Control",
                                                              "Connection",
                                                              "Content-Encoding",
                                                              "Content-Language",
                                                              "Content-Length",
                                                              "Content-Location",
                                                              "Content-Range",
                                                              "Content-Type",
                                                              "Cookie",
                                                              "Date",
                                                              "Expect",
                                                              "Expires",
                                                              "Host",
                                                              "If-Match",
                                                              "If-Modified-Since",
                                                              "If-None-Match",
                                                              "If-Range",
                                                              "If-Unmodified-Since",
                                                              "Keep-Alive",
                                                              "Location",
                                                              "Max-Forwards",
                                                              "Pragma",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "Proxy-Connection",
                                                              "Range",
                                                              "Retry-After",
                                                              "Set-Cookie",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Vary",
                                                              "Via",
                                                              "WWW-Authenticate",
                                                              "Warning",
                                                              "Authentication-Info",
                                                              "Proxy-Authentication-Info"};

std::size_t token_size(std::string_view text) {
    const auto end = std::find_if_not(text.begin(), text.end(), is_token_char);
    return static_cast<std::size_t>(end - text.begin());
}

// Returns the size of the quoted string that `text` begins with, or 0 if there is none.
std::size_t quoted_string_size(std::string_view text) {
    if (!text.starts_with('"')) {
        return 0;
    }
    for (std::size_t at = 1; at < text.size(); ++at) {
        if (text[at] == '"') {
            return at + 1;
        }
        if (text[at] == '\\') {
            ++at; // the byte after it stands for itself
        }
    }
    return 0;
}

bool is_extension_list(std::string_view text) {
    while (!text.empty()) {
        if (!text.starts_with(';')) {
            return false;
        }
        text.remove_prefix(1);
        const auto name = token_size(text);
        if (name == 0) {
            return false;
        }
        text.remove_prefix(name);
        if (!text.starts_with('=')) {
            continue;
        }
        text.remove_prefix(1);
        const auto value = std::max(token_size(text), quoted_string_size(text));
        if (value == 0) {
            return false;
        }
        text.remove_prefix(value);
    }
    return true;
}

} // namespace

chunk_line read_chunk_line(std::string_view line) {
    if (line.find('\r') != std::string_view::npos) {
        return {answer_defect::bare_line_end, 0};
    }
    // from_chars takes neither a sign, white space nor "0x" here.
    std::uint64_t size = 0;
    const auto* end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, size, 16);
    if (parsed.ec == std::errc::result_out_of_range) {
        return {answer_defect::chunk_size_overflow, 0};
    }
    if (parsed.ec != std::errc{}) {
        return {answer_defect::malformed_chunk_size, 0};
    }
    const auto rest = line.substr(static_cast<std::size_t>(parsed.ptr - line.data()));
    if (!rest.empty() && rest.front() != ';') {
        return {answer_defect::malformed_chunk_size, 0};
    }
    if (!is_text(rest) || !is_extension_list(rest)) {
        return {answer_defect::malformed_extension, 0};
    }
    return {answer_defect::none, size};
}

answer_defect check_trailer_line(std::string_view line, const std::vector<std::string>& announced) {
    const auto field = read_field_line(line);
    if (field.defect != answer_defect::none) {
        return field.defect;
    }
    const auto is_name = [&](std::string_view name) {
        return equals_ignoring_case(name, field.name);
    };
    if (std::any_of(forbidden_trailers.begin(), forbidden_trailers.end(), is_name)) {
        return answer_defect::forbidden_trailer;
    }
    const bool is_announced = std::any_of(announced.begin(), announced.end(), is_name);
    return is_announced ? answer_defect::none : answer_defect::unannounced_trailer;
}

} // namespace savoryrelay::protocol
