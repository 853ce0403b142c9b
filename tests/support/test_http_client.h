// A blocking HTTP client for tests. It opens a connection for each request and
// never retries.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

namespace http = boost::beast::http;

/// An answer, or the part of it that arrived before the connection ended.
struct test_answer {
    unsigned status = 0; ///< 0 if no complete header arrived
    std::string body;
    std::string outcome;      ///< value of the header Savoryrelay-Outcome
    bool is_complete = false; ///< true if the end of the body arrived
    std::string error;        ///< why the exchange ended early; empty on success
    std::string retry_after;  ///< value of the header Retry-After
};

using test_headers = std::vector<std::pair<std::string, std::string>>;

/// One request whose answer is read in steps.
class test_exchange {
public:
    test_exchange(const std::string& port, http::verb method, const std::string& target,
                  const std::string& body, const test_headers& headers)
        : test_exchange(port, std::string(http::to_string(method)), target, body, headers) {}

    /// `method` may be any token, also one that Boost.Beast does not know.
    test_exchange(const std::string& port, const std::string& method, const std::string& target,
                  const std::string& body, const test_headers& headers)
        : m_socket(m_context) {
        using boost::asio::ip::tcp;
        m_socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                       static_cast<std::uint16_t>(std::stoi(port))));
        http::request<http::string_body> request;
        request.method_string(method);
        request.target(target);
        request.set(http::field::host, "127.0.0.1");
        request.set(http::field::authorization, "Bearer demo-token");
        for (const auto& [name, value] : headers) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(m_socket, request, m_error);
        m_parser.body_limit(64 * 1024 * 1024);
    }

    /// Reads until the body contains `text`. Returns false if the answer ends first.
    bool read_until(const std::string& text) {
        while (m_parser.get().body().find(text) == std::string::npos) {
            if (m_error || m_parser.is_done()) {
                return false;
            }
            http::read_some(m_socket, m_buffer, m_parser, m_error);
        }
        return true;
    }

    /// Reads one more chunk of the answer. Does nothing after its end.
    void read_more() {
        if (!m_error && !m_parser.is_done()) {
            http::read_some(m_socket, m_buffer, m_parser, m_error);
        }
    }

    /// Reads the rest of the answer and returns all of it.
    test_answer finish() {
        while (!m_error && !m_parser.is_done()) {
            http::read_some(m_socket, m_buffer, m_parser, m_error);
        }
        test_answer answer;
        if (m_parser.is_header_done()) {
            const auto& message = m_parser.get();
            answer = {message.result_int(),
                      message.body(),
                      std::string(message["Savoryrelay-Outcome"]),
                      m_parser.is_done(),
                      {},
                      std::string(message[http::field::retry_after])};
        }
        answer.error = m_error ? m_error.message() : std::string{};
        return answer;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    boost::system::error_code m_error;
};

/// Sends a request and reads its whole answer.
inline test_answer fetch(const std::string& port, http::verb method, const std::string& target,
                         const std::string& body = {}, const test_headers& headers = {}) {
    return test_exchange(port, method, target, body, headers).finish();
}

} // namespace savoryrelay::tests
