// Tests the client side of an exchange: answers that break the limits of HTTP fields, and
// requests that are given up.
#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "support/scripted_engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace savoryrelay;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr state::milliseconds step_timeout{5'000};

/// How an endpoint ends a connection.
enum class connection_end { close, reset };

/// Accepts one connection, reads the head of a request, answers with fixed bytes and ends the
/// connection.
class raw_endpoint {
public:
    explicit raw_endpoint(std::string answer, connection_end end = connection_end::close)
        : m_answer(std::move(answer)), m_end(end) {
        m_thread = std::thread([this] { serve(); });
    }
    raw_endpoint(const raw_endpoint&) = delete;
    raw_endpoint& operator=(const raw_endpoint&) = delete;
    ~raw_endpoint() { m_thread.join(); }

    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    void serve() {
        tcp::socket socket(m_context);
        error_code ended;
        m_acceptor.accept(socket, ended);
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ended);
        asio::write(socket, asio::buffer(m_answer), ended);
        if (m_end == connection_end::reset) {
            // The destructor would end the connection regularly.
            socket.set_option(asio::socket_base::linger(true, 0), ended);
            socket.close(ended);
        }
    }

    std::string m_answer;
    connection_end m_end;
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::uint16_t m_port = m_acceptor.local_endpoint().port();
    std::thread m_thread;
};

/// Requests the whole answer of the endpoint at `port`. Returns the error that ended it.
asio::awaitable<error_code> read_answer(asio::io_context& context, std::uint16_t port) {
    transport::endpoint_connection connection(context);
    if (const auto failed = co_await connection.connect("127.0.0.1", port, step_timeout)) {
        co_return failed;
    }
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    if (const auto failed = co_await connection.send(request, step_timeout)) {
        co_return failed;
    }
    if (const auto failed = co_await connection.read_header(step_timeout)) {
        co_return failed;
    }
    std::string buffer(1024, '\0');
    while (true) {
        const auto [failed, size] =
            co_await connection.read_some(asio::buffer(buffer), step_timeout);
        if (failed || size == 0) {
            co_return failed;
        }
    }
}

/// Returns header field `name` after the end of an answer without a body.
asio::awaitable<std::string> read_field_behind_end(asio::io_context& context, std::uint16_t port,
                                                   std::string name) {
    transport::endpoint_connection connection(context);
    co_await connection.connect("127.0.0.1", port, step_timeout);
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    co_await connection.send(request, step_timeout);
    co_await connection.read_header(step_timeout);
    std::string buffer(1024, '\0');
    const auto [failed, size] = co_await connection.read_some(asio::buffer(buffer), step_timeout);
    co_return failed || size > 0 ? "no end" : connection.header(name);
}

/// Returns whether bytes come within `limit` behind the end of an answer without a body.
asio::awaitable<bool> receives_behind_end(asio::io_context& context, std::uint16_t port,
                                          state::milliseconds limit) {
    transport::endpoint_connection connection(context);
    co_await connection.connect("127.0.0.1", port, step_timeout);
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    co_await connection.send(request, step_timeout);
    co_await connection.read_header(step_timeout);
    std::string buffer(1024, '\0');
    co_await connection.read_some(asio::buffer(buffer), step_timeout);
    co_await connection.wait_behind_end(limit);
    co_return connection.has_bytes_after_end();
}

/// What uses a connection after its end.
enum class end_user { none, unread_bytes, closed, idle, bytes_after_end };

/// Reads the head and the body "part" of an answer, waits until its connection has ended, lets
/// `user` look at it, and reads on. Returns the error of the last read.
asio::awaitable<error_code> read_on_after(asio::io_context& context, std::uint16_t port,
                                          end_user user) {
    transport::endpoint_connection connection(context);
    co_await connection.connect("127.0.0.1", port, step_timeout);
    const transport::http_request request{boost::beast::http::verb::get, "/", 11};
    co_await connection.send(request, step_timeout);
    co_await connection.read_header(step_timeout);
    std::string buffer(1024, '\0');
    co_await connection.read_some(asio::buffer(buffer), step_timeout);
    co_await connection.wait_behind_end(step_timeout);
    switch (user) {
    case end_user::none:
        break;
    case end_user::unread_bytes:
        CHECK_FALSE(connection.has_unread_bytes());
        break;
    case end_user::closed:
        CHECK(connection.is_closed_by_peer());
        break;
    case end_user::idle:
        CHECK_FALSE(connection.usable_when_idle({}, 1));
        break;
    case end_user::bytes_after_end:
        CHECK_FALSE(connection.has_bytes_after_end());
        break;
    }
    const auto [failed, size] = co_await connection.read_some(asio::buffer(buffer), step_timeout);
    CHECK(size == 0);
    co_return failed;
}

/// What a client sees of an answer that comes before its request was sent.
struct early_answer {
    error_code sent;
    std::string body;
    error_code end;
};

/// Sends a request that does not fit into socket buffers, and reads the answer that came in spite
/// of the failure.
asio::awaitable<early_answer> read_early_answer(asio::io_context& context, std::uint16_t port) {
    constexpr std::size_t larger_than_socket_buffers = 64 * 1024 * 1024;
    early_answer seen;
    transport::endpoint_connection connection(context);
    co_await connection.connect("127.0.0.1", port, step_timeout);
    transport::http_request request{boost::beast::http::verb::post, "/", 11};
    request.body().assign(larger_than_socket_buffers, 'x');
    request.prepare_payload();
    seen.sent = co_await connection.send(request, step_timeout);
    co_await connection.read_header(step_timeout);
    std::string buffer(1024, '\0');
    while (true) {
        const auto [failed, size] =
            co_await connection.read_some(asio::buffer(buffer), step_timeout);
        if (failed || size == 0) {
            seen.end = failed;
            co_return seen;
        }
        seen.body.append(buffer, 0, size);
    }
}

/// Returns the error that ends an answer in chunks with header field `field` and these bytes
/// behind its only chunk.
error_code end_of_chunks(const std::string& field, const std::string& rest) {
    const raw_endpoint endpoint("HTTP/1.1 200 OK\r\n" + field +
                                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n" + rest);
    transport::io_threads threads{1};
    return asio::co_spawn(threads.context(0), read_answer(threads.context(0), endpoint.port()),
                          asio::use_future)
        .get();
}

/// Sends a request that its peer does not read, and gives it up. Destroys the connection
/// if `destroys`, or else closes it first. Returns the error of the send.
asio::awaitable<error_code> give_up_request(asio::io_context& context, std::uint16_t port,
                                            std::size_t body_bytes, bool destroys) {
    constexpr state::milliseconds short_timeout{200};
    transport::endpoint_connection connection(context);
    if (const auto failed = co_await connection.connect("127.0.0.1", port, step_timeout)) {
        co_return failed;
    }
    transport::http_request request{boost::beast::http::verb::post, "/", 11};
    request.body().assign(body_bytes, 'x');
    request.prepare_payload();
    const auto failed = co_await connection.send(request, short_timeout);
    if (!failed) {
        co_await connection.read_header(short_timeout); // the peer acknowledges meanwhile
    }
    if (!destroys) {
        connection.close();
    }
    co_return failed;
}

} // namespace

TEST_CASE("a request that is given up before its peer has acknowledged it is not sent later") {
    constexpr std::size_t larger_than_socket_buffers = 64 * 1024 * 1024;
    const bool destroys = GENERATE(false, true);
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    transport::io_threads threads{1};
    const auto give_up = [&](std::size_t body_bytes) {
        return asio::co_spawn(threads.context(0),
                              give_up_request(threads.context(0), acceptor.local_endpoint().port(),
                                              body_bytes, destroys),
                              asio::use_future)
            .get();
    };
    error_code ended;
    std::string received;

    CHECK(give_up(larger_than_socket_buffers) == asio::error::operation_aborted);
    auto reset = acceptor.accept();
    asio::read(reset, asio::dynamic_buffer(received), ended);
    CHECK(ended == asio::error::connection_reset);

    CHECK_FALSE(give_up(1));
    auto closed = acceptor.accept();
    asio::read(closed, asio::dynamic_buffer(received), ended);
    CHECK(ended == asio::error::eof);
}

TEST_CASE("an answer with a trailer field above 64 KiB is an error and does not end the process") {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(100 * 1024, 'x');
    transport::io_threads threads{1};
    for (const auto& body :
         {"0\r\nX-Long: " + filler + "\r\n\r\n", "1;" + filler + "\r\nx\r\n0\r\n\r\n"}) {
        const raw_endpoint endpoint(head + body);
        const auto failed =
            asio::co_spawn(threads.context(0), read_answer(threads.context(0), endpoint.port()),
                           asio::use_future)
                .get();
        CHECK(failed);
    }
}

TEST_CASE("an answer whose trailer fields are not announced is not whole") {
    // Guards against the rest of a body that is read as trailer fields.
    CHECK_FALSE(end_of_chunks("", "0\r\n\r\n"));
    CHECK(end_of_chunks("", "0\r\nid: 7\r\ndata: x\r\n\r\n"));
    CHECK_FALSE(end_of_chunks("Trailer: X-Sum\r\n", "0\r\nx-sum: 7\r\n\r\n"));
    CHECK_FALSE(end_of_chunks("Trailer: A\r\nTrailer: B, C\r\n", "0\r\nC: 1\r\nA: 2\r\n\r\n"));
    CHECK(end_of_chunks("Trailer: X-Sum\r\n", "0\r\nX-Sum: 7\r\nid: 7\r\n\r\n"));
    CHECK(end_of_chunks("id: 1\r\n", "0\r\nid: 7\r\n\r\n"));
    for (const std::string name : {"Content-Length", "Transfer-Encoding", "Host", "Connection",
                                   "Content-Encoding", "Trailer"}) {
        CAPTURE(name);
        CHECK(end_of_chunks("Trailer: " + name + "\r\n", "0\r\n" + name + ": 7\r\n\r\n"));
    }
}

TEST_CASE("bytes behind the end of an answer are noticed, and a close or silence ends the wait") {
    // Guards against a stream that goes on behind its last chunk and is ended as complete.
    const std::string whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    transport::io_threads threads{1};
    const auto receives = [&](std::uint16_t port, state::milliseconds limit) {
        return asio::co_spawn(threads.context(0),
                              receives_behind_end(threads.context(0), port, limit),
                              asio::use_future)
            .get();
    };
    const raw_endpoint goes_on(whole + "4\r\n");
    CHECK(receives(goes_on.port(), step_timeout));
    const raw_endpoint closes(whole);
    CHECK_FALSE(receives(closes.port(), step_timeout));

    using tests::scripted_engine;
    const scripted_engine is_silent(
        [&](const auto& connection, const auto&) { connection.send(whole); });
    CHECK_FALSE(receives(is_silent.port, state::milliseconds(20)));
    const scripted_engine goes_on_later([&](const auto& connection, const auto&) {
        connection.send(whole);
        static_cast<void>(connection.wait_until_closed(state::milliseconds(50)));
        connection.send("4\r\n");
    });
    CHECK(receives(goes_on_later.port, step_timeout));
}

TEST_CASE("trailer fields are not added to the header") {
    const raw_endpoint endpoint("HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 7\r\n\r\n");
    transport::io_threads threads{1};
    const auto field =
        asio::co_spawn(threads.context(0),
                       read_field_behind_end(threads.context(0), endpoint.port(), "X-Sum"),
                       asio::use_future)
            .get();
    CHECK(field.empty());
}

// Guards against streams that end as complete although their endpoint has reset the connection.
TEST_CASE("an answer without a length is not whole after a reset that something else has seen") {
    const auto user = GENERATE(end_user::none, end_user::unread_bytes, end_user::closed,
                               end_user::idle, end_user::bytes_after_end);
    const auto end = GENERATE(connection_end::close, connection_end::reset);
    CAPTURE(static_cast<int>(user));
    const raw_endpoint endpoint("HTTP/1.1 200 OK\r\n\r\npart", end);
    transport::io_threads threads{1};
    const auto failed =
        asio::co_spawn(threads.context(0), read_on_after(threads.context(0), endpoint.port(), user),
                       asio::use_future)
            .get();
    CHECK(failed == (end == connection_end::reset ? error_code(asio::error::connection_reset)
                                                  : error_code()));
}

// Guards against the same after a send that the reset has ended.
TEST_CASE("an answer without a length is not whole if a reset has ended the sending") {
    const raw_endpoint endpoint("HTTP/1.1 200 OK\r\n\r\npart", connection_end::reset);
    transport::io_threads threads{1};
    const auto seen =
        asio::co_spawn(threads.context(0), read_early_answer(threads.context(0), endpoint.port()),
                       asio::use_future)
            .get();
    CHECK(seen.sent == asio::error::connection_reset);
    CHECK(seen.body == "part");
    CHECK(seen.end == asio::error::connection_reset);
}
