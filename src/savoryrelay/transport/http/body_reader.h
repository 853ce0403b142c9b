// Reads the body of a request no faster than memory is lent for it.
#pragma once

#include "savoryrelay/transport/http/connection_memory.h"
#include "savoryrelay/transport/http/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace savoryrelay::transport {

/// A larger body is read only if it is needed.
inline constexpr std::size_t max_unasked_body_bytes = 64 * 1024;

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// How the reading of a request ended.
enum class body_end {
    complete,
    answered,  ///< answered without its body
    no_memory, ///< the request has not run
    failed,    ///< malformed, too large, or the peer has gone
};

/// The end of a body, and the error of the connection or the parser.
struct body_result {
    body_end end = body_end::complete;
    boost::system::error_code error;
};

/// Reads one body. The head must have been parsed.
class body_reader {
public:
    body_reader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                request_parser& parser, connection_memory& memory)
        : m_stream(stream), m_buffer(buffer), m_parser(parser), m_memory(memory) {}

    /// Appends the body to `body`, which is empty. `answer_head` is called once before more than
    /// `max_unasked_body_bytes` are read; if it returns true, the rest is not read.
    boost::asio::awaitable<body_result>
    read(std::string& body, std::function<boost::asio::awaitable<bool>()> answer_head);

private:
    /// Makes room for more of the body.
    boost::asio::awaitable<bool> grow(std::string& body, std::size_t filled, std::size_t size);
    [[nodiscard]] std::size_t next_size(std::size_t filled) const;

    boost::beast::tcp_stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    request_parser& m_parser;
    connection_memory& m_memory;
    std::uint64_t m_head_bytes = 0; // held for the parsed head
};

} // namespace savoryrelay::transport
