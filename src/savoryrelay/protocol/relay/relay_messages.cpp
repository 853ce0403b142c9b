// Encodes and decodes the lines. Each request has one spelling only.
#include "savoryrelay/protocol/relay/relay_messages.h"

#include <algorithm>
#include <charconv>

namespace savoryrelay::protocol {
namespace {

constexpr std::string_view request_prefix = "relay 1 ";

// Bytes beyond ASCII are valid in an id.
bool is_id_byte(char c) {
    const auto byte = static_cast<unsigned char>(c);
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    return byte > space && byte != del;
}

bool is_valid_id(std::string_view id) {
    return !id.empty() && std::all_of(id.begin(), id.end(), is_id_byte);
}

// Returns `line` without its line end, or nothing if it has none or is too long.
std::optional<std::string_view> content_of(std::string_view line) {
    if (line.size() > max_relay_line_bytes || !line.ends_with('\n')) {
        return std::nullopt;
    }
    line.remove_suffix(1);
    return line;
}

} // namespace

std::optional<std::string> encode_relay_request(const relay_request& request) {
    std::string line(request_prefix);
    line += request.endpoint.value() + ' ' + std::to_string(request.started_ms) + '\n';
    if (!is_valid_id(request.endpoint.value()) || line.size() > max_relay_line_bytes) {
        return std::nullopt;
    }
    return line;
}

std::optional<relay_request> decode_relay_request(std::string_view line) {
    const auto content = content_of(line);
    if (!content || !content->starts_with(request_prefix)) {
        return std::nullopt;
    }
    const auto fields = content->substr(request_prefix.size());
    const auto space = fields.find(' ');
    if (space == std::string_view::npos || !is_valid_id(fields.substr(0, space))) {
        return std::nullopt;
    }
    const auto number = fields.substr(space + 1);
    relay_request request;
    request.endpoint = state::endpoint_id(std::string(fields.substr(0, space)));
    const auto* end = number.data() + number.size();
    const auto parsed = std::from_chars(number.data(), end, request.started_ms);
    const bool has_leading_zero = number.size() > 1 && number.front() == '0';
    if (parsed.ec != std::errc{} || parsed.ptr != end || has_leading_zero) {
        return std::nullopt;
    }
    return request;
}

std::string encode_relay_reply(relay_reply reply) {
    return std::string(state::to_name(reply)) + '\n';
}

std::optional<relay_reply> decode_relay_reply(std::string_view line) {
    const auto content = content_of(line);
    return content ? state::from_name<relay_reply>(*content) : std::nullopt;
}

} // namespace savoryrelay::protocol
