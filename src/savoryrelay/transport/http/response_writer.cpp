// Encodes complete and chunked answers.
#include "savoryrelay/transport/http/response_writer.h"

#include <boost/beast/http/status.hpp>

#include <cassert>
#include <charconv>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using boost::system::error_code;

response_writer::response_writer(send_buffers_hook send_buffers, bool keep_alive, bool has_body)
    : m_send_buffers(std::move(send_buffers)), m_keep_alive(keep_alive), m_has_body(has_body) {}

std::string response_writer::header_text(unsigned status, const http_fields& fields,
                                         const std::string& framing) const {
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n" + framing;
    for (const auto& field : fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += m_keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return text;
}

asio::awaitable<bool> response_writer::borrow(std::size_t bytes) {
    if (!m_borrow) {
        co_return true;
    }
    co_return co_await m_borrow(bytes);
}

asio::awaitable<error_code> response_writer::send(unsigned status, http_fields fields,
                                                  std::string_view body) {
    assert(!m_started);
    m_started = true;
    // Without a body to measure, `fields` state the length of an answer to HEAD.
    const auto framing = m_has_body || !body.empty()
                             ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                             : std::string{};
    const auto header = header_text(status, fields, framing);
    const auto sent_body = m_has_body ? asio::buffer(body) : asio::const_buffer{};
    const auto failed =
        co_await m_send_buffers({asio::buffer(header), sent_body, asio::const_buffer{}});
    m_complete = !failed;
    co_return failed;
}

asio::awaitable<error_code> response_writer::start(unsigned status, http_fields fields) {
    assert(!m_started);
    m_started = true;
    const auto header = header_text(status, fields, "Transfer-Encoding: chunked\r\n");
    co_return co_await m_send_buffers(
        {asio::buffer(header), asio::const_buffer{}, asio::const_buffer{}});
}

asio::awaitable<error_code> response_writer::write(std::string_view bytes) {
    assert(m_started);
    if (bytes.empty() || !m_has_body) {
        co_return error_code{};
    }
    std::array<char, 20> size{};
    constexpr int hexadecimal = 16;
    auto* end = std::to_chars(size.data(), size.data() + 16, bytes.size(), hexadecimal).ptr;
    *end++ = '\r';
    *end++ = '\n';
    static constexpr std::string_view line_end = "\r\n";
    co_return co_await m_send_buffers(
        {asio::buffer(size.data(), static_cast<std::size_t>(end - size.data())),
         asio::buffer(bytes), asio::buffer(line_end)});
}

asio::awaitable<error_code> response_writer::finish() {
    assert(m_started);
    if (!m_has_body) {
        m_complete = true;
        co_return error_code{};
    }
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    const auto failed = co_await m_send_buffers(
        {asio::buffer(last_chunk), asio::const_buffer{}, asio::const_buffer{}});
    m_complete = !failed;
    co_return failed;
}

} // namespace savoryrelay::transport
