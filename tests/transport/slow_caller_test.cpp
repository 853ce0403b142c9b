// Tests that whole answers reach callers that read slowly, or that send the next request
// before they have read the answer.
#include "savoryrelay/transport/http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int receive_buffer_bytes = 128 * 1024;

/// A server whose answers are `body_bytes` long.
struct large_answer_server {
    large_answer_server(std::size_t body_bytes, state::milliseconds write_timeout)
        : m_body(body_bytes, 'x'), m_limits{.write_timeout = write_timeout} {}
    large_answer_server(const large_answer_server&) = delete;
    large_answer_server& operator=(const large_answer_server&) = delete;
    ~large_answer_server() {
        server.stop_accepting();
        m_threads.stop();
    }

private:
    const std::string m_body;
    transport::http_limits m_limits;
    transport::io_threads m_threads{1};

public:
    transport::http_server server{
        m_threads, "127.0.0.1", 0, m_limits,
        [this](transport::http_request,
               transport::response_writer& writer) -> asio::awaitable<void> {
            co_await writer.send(200, transport::content_type_field("text/plain"), m_body);
        }};
};

/// A caller whose socket buffers little, so that the server notices how fast it reads.
class slow_caller {
public:
    explicit slow_caller(std::uint16_t port) : m_socket(m_context, tcp::v4()) {
        m_socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send_request() {
        asio::write(m_socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }

    /// Reads pieces, with a pause after each, until `count` bytes have been read or the
    /// connection ends. Returns the number of bytes read.
    std::size_t read(std::size_t count, std::size_t piece_bytes, state::milliseconds pause) {
        std::vector<char> piece(piece_bytes);
        std::size_t received = 0;
        boost::system::error_code ended;
        while (!ended && received < count) {
            received += m_socket.read_some(asio::buffer(piece), ended);
            std::this_thread::sleep_for(pause);
        }
        return received;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

} // namespace

TEST_CASE("a large answer to a caller that reads slowly but steadily is not cut") {
    constexpr std::size_t body_bytes = 16 * 1024 * 1024;
    large_answer_server fixture(body_bytes, 400ms);
    slow_caller caller(fixture.server.port());
    caller.send_request();
    const auto started = std::chrono::steady_clock::now();
    CHECK(caller.read(body_bytes, 64 * 1024, 8ms) >= body_bytes);
    CHECK(std::chrono::steady_clock::now() - started > 1s);
}

TEST_CASE("an answer is not cut by a request that arrives behind it when the connection closes") {
    constexpr std::size_t body_bytes = 2 * 1024 * 1024;
    large_answer_server fixture(body_bytes, 15s);
    fixture.server.announce_close();
    slow_caller caller(fixture.server.port());
    caller.send_request();
    std::this_thread::sleep_for(100ms); // until the server has read it
    caller.send_request();
    CHECK(caller.read(body_bytes, 64 * 1024, 5ms) >= body_bytes);
}
