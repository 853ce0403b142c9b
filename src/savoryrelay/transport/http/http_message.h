// HTTP message types shared by the server and the client side.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

/// The most bytes that a connection holds unparsed. Boost.Beast throws for a field above
/// 64 KiB, and its header limit does not cover trailers and chunk extensions.
inline constexpr std::uint32_t max_buffered_bytes = 64 * 1024 - 1;

/// A request with its complete body.
using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// A header field.
struct http_field {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they are sent.
using http_fields = std::vector<http_field>;

/// Returns a list with a single Content-Type field. Functions build such lists
/// because g++ 12 rejects an initializer list inside a co_await expression.
[[nodiscard]] inline http_fields content_type_field(std::string type) {
    http_fields fields;
    fields.push_back({"Content-Type", std::move(type)});
    return fields;
}

/// Returns the value of the header field `name`, or an empty string.
[[nodiscard]] inline std::string header_of(const http_request& request, std::string_view name) {
    const auto found = request.find(name);
    return found == request.end() ? std::string{} : std::string(found->value());
}

} // namespace savoryrelay::transport
