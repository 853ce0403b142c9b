// Implements an HTTP exchange in which every step has its own time limit.
#include "savoryrelay/transport/http/endpoint_connection.h"

#include "savoryrelay/transport/http/answer_error.h"
#include "savoryrelay/transport/http/socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <span>
#include <tuple>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t max_reply_bytes = 64; // of another host, about a tunnel

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
    m_socket_error = {};
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

void endpoint_connection::reset_reader() {
    // A late copy of an answer to another request may come first, so the reader does not know
    // whether the next answer belongs to HEAD: see `skip_body`.
    m_reader.emplace(protocol::request_kind::other);
    m_is_answer_begun = false;
}

asio::awaitable<error_code> endpoint_connection::send(const http_request& request,
                                                      state::milliseconds timeout) {
    reset_reader();
    m_watchdog.extend(timeout);
    const auto [failed, size] = co_await http::async_write(m_stream, request, use_tuple);
    m_watchdog.disarm();
    note_socket_error(failed);
    co_return failed;
}

std::string_view endpoint_connection::received() const {
    const auto bytes = m_buffer.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

error_code endpoint_connection::reading_error() const {
    switch (const auto defect = m_reader->defect()) {
    case protocol::answer_defect::none:
        return {};
    case protocol::answer_defect::ended_early:
        return m_is_answer_begun ? http::error::partial_message : http::error::end_of_stream;
    default:
        return make_error_code(defect);
    }
}

asio::awaitable<error_code> endpoint_connection::receive() {
    const auto [failed, size] =
        co_await m_stream.async_read_some(m_buffer.prepare(receive_bytes), use_tuple);
    m_buffer.commit(size);
    note_socket_error(failed);
    if (failed != asio::error::eof) {
        co_return failed;
    }
    if (m_socket_error) {
        co_return m_socket_error;
    }
    m_reader->end_connection();
    co_return reading_error();
}

asio::awaitable<error_code> endpoint_connection::read_header(state::milliseconds timeout) {
    m_watchdog.extend(timeout);
    auto failed = reading_error();
    while (!failed && !m_reader->has_head()) {
        if (m_buffer.size() == 0) {
            failed = co_await receive();
        }
        if (!failed) {
            m_is_answer_begun = true;
            m_buffer.consume(m_reader->read_head(received()));
            failed = reading_error();
        }
    }
    m_watchdog.disarm();
    co_return failed;
}

asio::awaitable<std::pair<error_code, std::size_t>>
endpoint_connection::read_some(asio::mutable_buffer buffer, state::milliseconds timeout) {
    if (m_skips_body) {
        co_return std::pair{error_code{}, std::size_t{0}};
    }
    m_watchdog.extend(timeout);
    const std::span<char> out(static_cast<char*>(buffer.data()), buffer.size());
    std::size_t produced = 0;
    auto failed = reading_error();
    while (!failed && produced == 0 && m_reader->stage() == protocol::reading_stage::body) {
        if (m_buffer.size() == 0) {
            failed = co_await receive();
        }
        if (!failed) {
            const auto step = m_reader->read_body(received(), out);
            m_buffer.consume(step.consumed);
            produced = step.produced;
            // The bytes before a defect come first; the next call reports it.
            failed = produced > 0 ? error_code{} : reading_error();
        }
    }
    m_watchdog.disarm();
    co_return std::pair{failed, produced};
}

unsigned endpoint_connection::status() const {
    return m_reader->status();
}

std::string endpoint_connection::header(std::string_view name) const {
    const auto& all = m_reader->fields();
    const auto found = all.find(name);
    return found == all.end() ? std::string{} : std::string(found->value());
}

http_fields endpoint_connection::fields() const {
    http_fields all;
    for (const auto& field : m_reader->fields()) {
        all.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return all;
}

bool endpoint_connection::has_chunks() const {
    return !m_skips_body && m_reader && m_reader->has_chunks();
}

bool endpoint_connection::reusable() const {
    return !m_skips_body && m_reader && m_reader->allows_reuse() && m_buffer.size() == 0 &&
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
    return !m_skips_body && m_reader && m_reader->ends_by_closing();
}

void endpoint_connection::expect_another_answer() {
    reset_reader();
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

void endpoint_connection::note_socket_error(const error_code& failed) {
    // A send fails with EPIPE behind a regular end, and a cancelled operation took no error.
    if (failed && failed != asio::error::eof && failed != asio::error::broken_pipe &&
        failed != asio::error::operation_aborted) {
        m_socket_error = failed;
    }
}

std::pair<endpoint_connection::input_state, std::size_t>
endpoint_connection::peek(std::span<char> out) {
    const auto received =
        ::recv(m_stream.socket().native_handle(), out.data(), out.size(), MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return {input_state::bytes, static_cast<std::size_t>(received)};
    }
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return {input_state::none, 0};
    }
    if (received < 0) {
        note_socket_error(error_code(errno, boost::system::system_category()));
    }
    return {input_state::closed, 0};
}

endpoint_connection::input_state endpoint_connection::peek() {
    std::array<char, 1> byte{};
    return peek(byte).first;
}

bool endpoint_connection::has_unread_bytes() {
    return peek() == input_state::bytes;
}

asio::awaitable<void> endpoint_connection::wait_behind_end(state::milliseconds limit) {
    if (m_buffer.size() > 0) {
        co_return;
    }
    m_watchdog.extend(limit);
    co_await m_stream.socket().async_wait(tcp::socket::wait_read, use_tuple);
    m_watchdog.disarm();
}

bool endpoint_connection::has_bytes_after_end() {
    // A chunk cannot begin like an answer, because H is no hexadecimal digit.
    constexpr std::string_view answer_begin = "HTTP/";
    std::array<char, answer_begin.size()> peeked{};
    auto bytes = received().substr(0, answer_begin.size());
    if (bytes.empty()) {
        bytes = {peeked.data(), peek(peeked).second};
    }
    return !bytes.empty() && !answer_begin.starts_with(bytes);
}

bool endpoint_connection::is_closed_by_peer() {
    return m_stream.socket().is_open() && peek() == input_state::closed;
}

void endpoint_connection::close() {
    close_at_once(m_stream.socket());
}

} // namespace savoryrelay::transport
