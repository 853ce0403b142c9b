// Implements an HTTP exchange in which every step has its own time limit.
#include "savoryrelay/transport/http/endpoint_connection.h"

#include "savoryrelay/transport/http/answer_error.h"
#include "savoryrelay/transport/http/socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <limits>
#include <tuple>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr std::uint32_t max_answer_header_bytes = 16 * 1024;
constexpr int max_informational_heads = 8;
constexpr std::size_t max_reply_bytes = 64; // of another host, about a tunnel

// Returns whether `text` contains the status line of an answer up to its status.
bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
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

// Returns whether the head of one answer ran on into that of another, as happens when a
// peer sends a part of an answer and then a whole one.
bool is_spliced(const http::response_header<>& head) {
    return contains_status_line({head.reason().data(), head.reason().size()}) ||
           std::any_of(head.begin(), head.end(), [](const auto& field) {
               return contains_status_line({field.value().data(), field.value().size()});
           });
}

// Fields that decide how a message is read or where it goes; a recipient must know them before
// the body.
constexpr std::array<std::string_view, 11> forbidden_trailer_fields{
    "Connection",     "Content-Encoding",
    "Content-Length", "Content-Range",
    "Content-Type",   "Host",
    "Keep-Alive",     "TE",
    "Trailer",        "Transfer-Encoding",
    "Upgrade"};

// Returns whether the trailer of an answer with these header fields may contain field `name`.
bool is_announced_trailer(const http_fields& header, std::string_view name) {
    const auto is_name = [&](std::string_view other) { return beast::iequals(other, name); };
    return std::none_of(forbidden_trailer_fields.begin(), forbidden_trailer_fields.end(),
                        is_name) &&
           std::any_of(header.begin(), header.end(), [&](const http_field& field) {
               return beast::iequals(field.name, "Trailer") &&
                      http::token_list{field.value}.exists(name);
           });
}

bool is_informational(const http::response_header<>& head) {
    return http::to_status_class(head.result_int()) == http::status_class::informational;
}

} // namespace

bool is_closed_by_peer(const error_code& failed) {
    return failed == asio::error::connection_reset || failed == asio::error::broken_pipe ||
           failed == asio::error::eof || failed == http::error::end_of_stream ||
           failed == http::error::partial_message;
}

asio::awaitable<error_code> endpoint_connection::connect(const std::string& address,
                                                         std::uint16_t port,
                                                         state::milliseconds timeout) {
    error_code invalid;
    const auto ip = asio::ip::make_address(address, invalid);
    if (invalid) {
        co_return invalid;
    }
    m_watchdog.extend(timeout);
    const auto [failed] = co_await m_stream.async_connect(tcp::endpoint(ip, port), use_tuple);
    m_watchdog.disarm();
    if (!failed) {
        set_socket_options(m_stream.socket());
    }
    co_return failed;
}

asio::awaitable<relayed_connect>
endpoint_connection::connect_through(const state::member_address& relay,
                                     const state::endpoint_id& endpoint, std::uint64_t started_ms,
                                     state::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto line = protocol::encode_relay_request({endpoint, started_ms});
    relayed_connect result;
    if (!line) {
        result.failed = asio::error::invalid_argument;
        co_return result;
    }
    result.failed = co_await connect(relay.ip, relay.port, timeout);
    if (!result.failed) {
        result = co_await open_tunnel(*line, deadline);
    }
    if (result.failed) {
        close();
        co_return result;
    }
    m_path = connection_path::relayed;
    m_relay = relay;
    co_return result;
}

asio::awaitable<relayed_connect> endpoint_connection::open_tunnel(const std::string& line,
                                                                  state::time_point deadline) {
    const auto extend = [&] {
        m_watchdog.extend(
            std::chrono::ceil<state::milliseconds>(deadline - std::chrono::steady_clock::now()));
    };
    relayed_connect result;
    extend();
    std::tie(result.failed, std::ignore) =
        co_await asio::async_write(m_stream, asio::buffer(line), use_tuple);

    // No bytes follow the reply, because an endpoint sends none before a request.
    std::array<char, max_reply_bytes> reply{};
    std::size_t received = 0;
    while (!result.failed && received < reply.size() &&
           std::find(reply.begin(), reply.begin() + received, '\n') == reply.begin() + received) {
        extend();
        std::size_t size = 0;
        std::tie(result.failed, size) = co_await m_stream.async_read_some(
            asio::buffer(reply.data() + received, reply.size() - received), use_tuple);
        received += size;
    }
    m_watchdog.disarm();
    if (result.failed) {
        co_return result;
    }
    result.reply = protocol::decode_relay_reply({reply.data(), received});
    if (!result.reply) {
        result.failed = http::error::bad_value;
    } else if (*result.reply != protocol::relay_reply::connected) {
        result.failed = asio::error::connection_refused;
    }
    co_return result;
}

void endpoint_connection::reset_parser() {
    m_fields.clear();
    m_parser.emplace();
    m_parser->header_limit(max_answer_header_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
}

asio::awaitable<error_code> endpoint_connection::send(const http_request& request,
                                                      state::milliseconds timeout) {
    reset_parser();
    m_watchdog.extend(timeout);
    const auto [failed, size] = co_await http::async_write(m_stream, request, use_tuple);
    m_watchdog.disarm();
    co_return failed;
}

asio::awaitable<error_code> endpoint_connection::read_header(state::milliseconds timeout) {
    m_watchdog.extend(timeout);
    error_code result = http::error::bad_status;
    for (int heads = 0; heads <= max_informational_heads; ++heads) {
        const auto [failed, size] =
            co_await http::async_read_header(m_stream, m_buffer, *m_parser, use_tuple);
        if (failed || !is_informational(m_parser->get())) {
            result = failed;
            break;
        }
        reset_parser();
    }
    m_watchdog.disarm();
    if (!result) {
        for (const auto& field : m_parser->get()) {
            m_fields.push_back({std::string(field.name_string()), std::string(field.value())});
        }
    }
    if (!result && is_spliced(m_parser->get())) {
        co_return http::error::bad_value;
    }
    co_return result;
}

asio::awaitable<std::pair<error_code, std::size_t>>
endpoint_connection::read_some(asio::mutable_buffer buffer, state::milliseconds timeout) {
    if (m_skips_body) {
        co_return std::pair{error_code{}, std::size_t{0}};
    }
    m_watchdog.extend(timeout);
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = buffer.data();
        body.size = buffer.size();
        auto [failed, size] =
            co_await http::async_read_some(m_stream, m_buffer, *m_parser, use_tuple);
        const std::size_t received = buffer.size() - body.size;
        if (failed == http::error::need_buffer) {
            failed = {};
        }
        if (failed || received > 0) {
            m_watchdog.disarm();
            co_return std::pair{failed, received};
        }
    }
    m_watchdog.disarm();
    if (has_unannounced_trailer()) {
        co_return std::pair{make_error_code(answer_error::unannounced_trailer), std::size_t{0}};
    }
    co_return std::pair{error_code{}, std::size_t{0}};
}

unsigned endpoint_connection::status() const {
    return m_parser->get().result_int();
}

std::string endpoint_connection::header(std::string_view name) const {
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto& field) {
        return beast::iequals(field.name, name);
    });
    return found == m_fields.end() ? std::string{} : found->value;
}

http_fields endpoint_connection::fields() const {
    return m_fields;
}

bool endpoint_connection::has_chunks() const {
    return !m_skips_body && m_parser && m_parser->chunked();
}

bool endpoint_connection::has_unannounced_trailer() const {
    if (!has_chunks()) {
        return false;
    }
    // The parser adds the trailer fields to those of the header.
    const auto& all = m_parser->get();
    return std::any_of(all.begin(), all.end(), [&](const auto& field) {
        const auto name = field.name_string();
        const auto in_header =
            std::count_if(m_fields.begin(), m_fields.end(), [&](const auto& known) {
                return beast::iequals(known.name, {name.data(), name.size()});
            });
        return all.count(name) > static_cast<std::size_t>(in_header) &&
               !is_announced_trailer(m_fields, {name.data(), name.size()});
    });
}

bool endpoint_connection::reusable() const {
    return !m_skips_body && m_parser && m_parser->is_done() && m_parser->keep_alive() &&
           !has_unannounced_trailer() && m_buffer.size() == 0 &&
           m_repeatable_requests.size() < max_repeatable_requests;
}

void endpoint_connection::note_repeatable(const state::request_id& request) {
    m_repeatable_requests.push_back(request);
}

bool endpoint_connection::may_carry(const state::request_id& request) const {
    return std::find(m_repeatable_requests.begin(), m_repeatable_requests.end(), request) ==
           m_repeatable_requests.end();
}

bool endpoint_connection::ends_answer_by_closing() const {
    return !m_skips_body && m_parser && m_parser->need_eof();
}

void endpoint_connection::expect_another_answer() {
    reset_parser();
}

std::optional<state::milliseconds> endpoint_connection::keep_alive_timeout() const {
    constexpr std::string_view parameter = "timeout=";
    const auto text = header("Keep-Alive");
    const auto position = text.find(parameter);
    if (position == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto* begin = text.data() + position + parameter.size();
    const auto parsed = std::from_chars(begin, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

bool endpoint_connection::usable_when_idle(state::time_point now, double share) {
    const auto limit = keep_alive_timeout().value_or(default_keep_alive_timeout);
    if (std::chrono::duration<double>(now - m_idle_since) >
        std::chrono::duration<double>(limit) * share) {
        return false;
    }
    return peek() == input_state::none;
}

endpoint_connection::input_state endpoint_connection::peek() {
    char byte = 0;
    const auto received =
        ::recv(m_stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return input_state::bytes;
    }
    const bool is_open = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_open ? input_state::none : input_state::closed;
}

bool endpoint_connection::has_unread_bytes() {
    return peek() == input_state::bytes;
}

asio::awaitable<void> endpoint_connection::wait_behind_end(state::milliseconds limit) {
    if (has_bytes_after_end()) {
        co_return;
    }
    m_watchdog.extend(limit);
    co_await m_stream.socket().async_wait(tcp::socket::wait_read, use_tuple);
    m_watchdog.disarm();
}

bool endpoint_connection::has_bytes_after_end() {
    return m_buffer.size() > 0 || has_unread_bytes();
}

bool endpoint_connection::is_closed_by_peer() {
    return m_stream.socket().is_open() && peek() == input_state::closed;
}

void endpoint_connection::close() {
    close_at_once(m_stream.socket());
}

} // namespace savoryrelay::transport
