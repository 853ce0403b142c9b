// Syntax elements of RFC 9110 section 5.6 that the checks of heads, chunks and trailers share.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_defect.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

[[nodiscard]] constexpr bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

[[nodiscard]] constexpr bool is_blank(char c) {
    return c == ' ' || c == '\t';
}

/// tchar: a character of a token.
[[nodiscard]] constexpr bool is_token_char(char c) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

/// Returns whether `text` consists of HTAB, SP, VCHAR and obs-text.
[[nodiscard]] constexpr bool is_text(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

[[nodiscard]] constexpr bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

/// Removes optional white space (OWS) at both ends.
[[nodiscard]] constexpr std::string_view trim_blanks(std::string_view text) {
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Compares ASCII text without regard to case.
[[nodiscard]] constexpr bool equals_ignoring_case(std::string_view left, std::string_view right) {
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

/// Returns the elements of a comma-separated list, empty ones included.
[[nodiscard]] inline std::vector<std::string_view> split_list(std::string_view text) {
    std::vector<std::string_view> elements;
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        elements.push_back(trim_blanks(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return elements;
}

/// Returns the tokens of `#token`, whose empty elements do not count, or nothing if an element
/// is not a token.
[[nodiscard]] inline std::optional<std::vector<std::string_view>>
split_tokens(std::string_view text) {
    auto elements = split_list(text);
    std::erase_if(elements, [](std::string_view element) { return element.empty(); });
    if (!std::all_of(elements.begin(), elements.end(), is_token)) {
        return std::nullopt;
    }
    return elements;
}

/// A field line, or what is wrong with it. The views point into the checked line.
struct field_line {
    answer_defect defect = answer_defect::none;
    std::string_view name;
    std::string_view value; ///< without white space at its ends
};

/// Reads a field line of a head or a trailer section, without its CRLF.
[[nodiscard]] field_line read_field_line(std::string_view line);

/// Returns whether `text` contains the status line of an answer up to its status, as when a
/// peer sends a part of an answer and then a whole one.
[[nodiscard]] bool contains_status_line(std::string_view text);

} // namespace savoryrelay::protocol
