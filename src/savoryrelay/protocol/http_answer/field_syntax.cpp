// Implements the reading of one field line.
#include "savoryrelay/protocol/http_answer/field_syntax.h"

namespace savoryrelay::protocol {

field_line read_field_line(std::string_view line) {
    if (!line.empty() && is_blank(line.front())) {
        return {answer_defect::folded_line, {}, {}};
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (name.find('\r') != std::string_view::npos) {
        return {answer_defect::bare_line_end, {}, {}};
    }
    if (colon == std::string_view::npos || !is_token(name)) {
        return {answer_defect::malformed_field_name, {}, {}};
    }
    const auto value = trim_blanks(line.substr(colon + 1));
    if (value.find('\r') != std::string_view::npos) {
        return {answer_defect::bare_line_end, {}, {}};
    }
    if (!is_text(value)) {
        return {answer_defect::control_byte, {}, {}};
    }
    if (contains_status_line(value)) {
        return {answer_defect::spliced_answer, {}, {}};
    }
    return {answer_defect::none, name, value};
}

bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    for (auto at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const auto rest = text.substr(at + version.size());
        if (rest.size() >= 5 && is_digit(rest[0]) && rest[1] == ' ' && is_digit(rest[2]) &&
            is_digit(rest[3]) && is_digit(rest[4])) {
            return true;
        }
    }
    return false;
}

} // namespace savoryrelay::protocol
