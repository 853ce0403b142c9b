// Reads the header fields, the path and the body of a caller's request.
#include "savoryrelay/transport/caller/caller_request.h"

#include "savoryrelay/protocol/http_api/caller_api.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>
#include <utility>

namespace savoryrelay::transport {

using state::failure_kind;

namespace {

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

/// Reads the header fields that every call may carry.
state::result<void> read_call_headers(const http_request& request,
                                      coordination::call_request& call) {
    call.bearer_token = read_bearer_token(request);
    call.idempotency_key = header_of(request, "Idempotency-Key");
    constexpr std::size_t max_key_bytes = 200;
    if (call.idempotency_key.size() > max_key_bytes) {
        return state::fail(failure_kind::invalid_request, "Idempotency-Key exceeds 200 bytes");
    }
    if (const auto text = header_of(request, "Savoryrelay-Deadline-Ms"); !text.empty()) {
        const auto count = parse_number<std::uint32_t>(text);
        if (!count || *count == 0) {
            return state::fail(failure_kind::invalid_request,
                               "Savoryrelay-Deadline-Ms must be a whole number above 0");
        }
        call.deadline = state::milliseconds(*count);
    }
    if (const auto text = header_of(request, "Savoryrelay-Priority"); !text.empty()) {
        const auto priority = parse_number<int>(text);
        if (!priority || *priority < -10 || *priority > 10) {
            return state::fail(failure_kind::invalid_request,
                               "Savoryrelay-Priority must be a whole number from -10 to 10");
        }
        call.priority = *priority;
    }
    return {};
}

} // namespace

std::string read_bearer_token(const http_request& request) {
    static constexpr std::string_view scheme = "Bearer ";
    const auto field = header_of(request, "Authorization");
    return field.starts_with(scheme) ? field.substr(scheme.size()) : std::string{};
}

state::result<coordination::call_request> read_completion(const http_request& request) {
    BOOST_LEAF_AUTO(body, protocol::decode_completion_body(request.body()));
    coordination::call_request call;
    BOOST_LEAF_CHECK(read_call_headers(request, call));
    call.model = body.model;
    call.prompt = std::move(body.prompt);
    call.max_tokens = body.max_tokens;
    call.body = request.body();
    return call;
}

state::result<coordination::call_request> read_service_call(const http_request& request) {
    const std::string target(request.target());
    const auto name_end = target.find('/', service_path.size());
    coordination::call_request call;
    BOOST_LEAF_CHECK(read_call_headers(request, call));
    call.service = state::deployment_id(target.substr(
        service_path.size(),
        name_end == std::string::npos ? std::string::npos : name_end - service_path.size()));
    if (call.service.empty()) {
        return state::fail(failure_kind::invalid_request, "the path names no service");
    }
    call.body = std::string(request.method_string()) + ' ' + target + '\n' + request.body();
    return call;
}

std::string service_target(const http_request& request) {
    const std::string target(request.target());
    const auto name_end = target.find('/', service_path.size());
    return name_end == std::string::npos ? "/" : target.substr(name_end);
}

} // namespace savoryrelay::transport
