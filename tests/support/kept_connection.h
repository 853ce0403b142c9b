// A caller's connection that carries one request after another, for tests.
#pragma once

#include "support/test_http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace savoryrelay::tests {

/// An answer with the fields that tie it to a request and to the runner that made it.
struct kept_answer : test_answer {
    std::string request_id; ///< value of the header Attempt-Id
    std::string seal;       ///< value of the header Server-Seal
    std::string content_length;
};

/// A connection to a port of 127.0.0.1. Opened again for the next request after the peer
/// has closed it.
class kept_connection {
public:
    explicit kept_connection(std::string port) : m_port(std::move(port)) {}

    /// Sends a request and reads its whole answer. Never sends it twice.
    kept_answer fetch(http::verb method, const std::string& target, const std::string& body,
                      const test_headers& headers) {
        send(method, target, body, headers);
        return finish();
    }

    /// Sends a request whose answer `finish` reads.
    void send(http::verb method, const std::string& target, const std::string& body,
              const test_headers& headers) {
        open();
        m_is_head = method == http::verb::head;
        http::request<http::string_body> request{method, target, 11};
        for (const auto& [name, value] : headers) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(*m_socket, request, m_error);
    }

    /// Reads the whole answer to the request that was sent last.
    kept_answer finish() {
        http::response_parser<http::string_body> parser;
        parser.skip(m_is_head); // an answer to HEAD has no body
        while (!m_error && !parser.is_done()) {
            http::read_some(*m_socket, m_buffer, parser, m_error);
        }
        kept_answer answer;
        if (parser.is_header_done()) {
            const auto& message = parser.get();
            answer.status = message.result_int();
            answer.body = message.body();
            answer.is_complete = parser.is_done();
            answer.retry_after = std::string(message[http::field::retry_after]);
            answer.request_id = std::string(message["Attempt-Id"]);
            answer.seal = std::string(message["Server-Seal"]);
            answer.content_length = std::string(message[http::field::content_length]);
        }
        answer.error = m_error ? m_error.message() : std::string{};
        if (m_error || !parser.keep_alive()) {
            m_socket.reset();
        }
        return answer;
    }

    /// Opens the connection, unless it is open.
    void open() {
        if (m_socket) {
            return;
        }
        using boost::asio::ip::tcp;
        m_error = {};
        m_buffer.clear();
        m_socket.emplace(m_context);
        m_socket->connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                        static_cast<std::uint16_t>(std::stoi(m_port))));
    }

private:
    std::string m_port;
    boost::asio::io_context m_context;
    std::optional<boost::asio::ip::tcp::socket> m_socket; // empty while closed
    boost::beast::flat_buffer m_buffer;
    bool m_is_head = false; // of the request that was sent last
    boost::system::error_code m_error;
};

} // namespace savoryrelay::tests
