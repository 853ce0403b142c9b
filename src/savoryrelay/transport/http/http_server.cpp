// Accepts connections, reads requests within the limits and answers them in order.
#include "savoryrelay/transport/http/http_server.h"

#include "savoryrelay/transport/http/body_reader.h"
#include "savoryrelay/transport/http/progress_watchdog.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <exception>
#include <tuple>
#include <utility>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using coordination::holder_phase;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

constexpr int max_written_bytes = 64 * 1024; // by one operation of a write
constexpr std::size_t discard_buffer_bytes = 16 * 1024;
constexpr std::size_t max_discarded_bytes = 64 * 1024 * 1024;
// Interval of the check whether the peer has received an answer.
constexpr state::milliseconds acknowledgement_check_interval{20};
// Time after which the server accepts again when it could not, for want of descriptors.
constexpr state::milliseconds accept_retry_interval{50};

// A connection whose request needed a larger buffer gives it back before the next one.
constexpr std::size_t max_idle_buffer_bytes = 16 * 1024;
// Time in which the peer of a connection that is refused for memory may read the answer.
constexpr state::milliseconds refusal_read_time{1'000};

constexpr std::string_view memory_error_text =
    R"({"error":{"kind":"overloaded","message":"overloaded: the host has no memory for the request; repeat it later"}})";

constexpr std::string_view handler_error_text =
    R"({"error":{"kind":"internal","message":"internal: the server failed while it handled the request; the request may have run"}})";

/// Returns the text of `error`, which is not null.
std::string describe(const std::exception_ptr& error) {
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

std::string_view read_error_text(unsigned status) {
    return status == 413
               ? R"({"error":{"kind":"request_too_large","message":"request_too_large: the request exceeds the size limit; send a smaller request"}})"
               : R"({"error":{"kind":"invalid_request","message":"invalid_request: the request is not well-formed HTTP; correct the request"}})";
}

} // namespace

head_handler answer_without_body(request_handler handler) {
    return [handler = std::move(handler)](const http_request& head,
                                          response_writer& writer) -> asio::awaitable<bool> {
        co_await handler(head, writer);
        co_return true;
    };
}

/// One accepted connection. Runs on the thread of its socket.
class http_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(http_server& server, std::uint64_t id, tcp::socket socket)
        : m_server(server), m_id(id), m_stream(std::move(socket)),
          m_watchdog(m_stream.get_executor(), [this] { m_stream.cancel(); }),
          m_memory(server.m_accounting.account) {}

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        error_code ignored;
        m_memory.open(m_server.m_accounting.from, [weak = weak_from_this()] {
            if (const auto open = weak.lock()) {
                asio::post(open->m_stream.get_executor(), [open] { open->evict(); });
            }
        });
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        bool is_open = true;
        while (is_open) {
            is_open = co_await wait_for_request();
            if (is_open) {
                is_open = co_await serve_request();
            }
        }
        // Many connections close at once when memory or descriptors are short.
        const bool was_unread = !m_memory.is_evicted() && has_unread_bytes();
        if (was_unread) {
            log_warning(
                "connection_closed_unread",
                {{"idle_timeout_ms", std::to_string(m_server.limits().idle_timeout.count())},
                 {"stopping", m_server.m_stopping.load() ? "yes" : "no"}});
        }
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        // A smaller rest is on its way by now.
        if (was_unread || (!m_memory.is_evicted() && unacknowledged_bytes() > max_written_bytes)) {
            co_await wait_until_answer_received();
        }
        // A pending wait of detect_caller_gone would keep the socket open.
        m_stream.socket().cancel(ignored);
        m_server.remove_connection(m_id);
    }

    /// Ends the wait for the next request. A request that has begun is still served.
    void close_if_idle() {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            if (self->m_idle) {
                self->m_stream.cancel();
            }
        });
    }

private:
    /// Ends what the connection waits for, so that it closes.
    void evict() {
        m_memory.note_evicted();
        m_stream.cancel();
    }

    /// Returns whether the peer has sent bytes that were not read, perhaps a request.
    [[nodiscard]] bool has_unread_bytes() {
        char byte = 0;
        return m_buffer.size() > 0 || ::recv(m_stream.socket().native_handle(), &byte, sizeof(byte),
                                             MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// Returns the number of sent bytes that the peer has not acknowledged; 0 after a reset.
    [[nodiscard]] int unacknowledged_bytes() {
        const int socket = m_stream.socket().native_handle();
        tcp_info info{};
        socklen_t size = sizeof(info);
        int bytes = 0;
        if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
            info.tcpi_state == TCP_CLOSE || ::ioctl(socket, SIOCOUTQ, &bytes) != 0) {
            return 0;
        }
        return bytes;
    }

    /// Waits until the peer has received what was sent. Bytes of the peer that are not read
    /// make the close reset the connection, which discards what has not been received yet.
    asio::awaitable<void> wait_until_answer_received() {
        auto last = m_has_write_failed ? 0 : unacknowledged_bytes();
        auto progress_at = std::chrono::steady_clock::now();
        while (last > 0 && !m_memory.is_evicted() &&
               std::chrono::steady_clock::now() - progress_at < m_limits.write_timeout) {
            co_await pause_for(acknowledgement_check_interval);
            const auto left = unacknowledged_bytes();
            if (left != last) {
                progress_at = std::chrono::steady_clock::now();
            }
            last = left;
        }
    }

    /// Returns whether the peer has closed the connection and sends nothing more.
    [[nodiscard]] bool is_closed_by_peer() {
        char byte = 0;
        const auto received =
            ::recv(m_stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Waits for the first byte of a request. Returns false if the wait timed out, the
    /// peer closed the connection, or the server stops.
    asio::awaitable<bool> wait_for_request() {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        if (m_server.m_stopping.load()) {
            co_return has_unread_bytes();
        }
        const auto idle_since = std::chrono::steady_clock::now();
        const auto time_left = [&] {
            return std::chrono::ceil<state::milliseconds>(
                idle_since + m_server.limits().idle_timeout - std::chrono::steady_clock::now());
        };
        m_idle = true;
        error_code failed;
        do {
            m_watchdog.extend(time_left());
            std::tie(failed) =
                co_await m_stream.socket().async_wait(tcp::socket::wait_read, use_tuple);
            m_watchdog.disarm();
            // The limit may have been raised during the wait.
        } while (failed == asio::error::operation_aborted && !m_server.m_stopping.load() &&
                 !m_memory.is_evicted() && time_left() > state::milliseconds(0));
        m_idle = false;
        // A request may have arrived just before the wait was ended.
        co_return !m_memory.is_evicted() && (!failed || has_unread_bytes());
    }

    /// Reads and answers one request. Returns false if the connection must be closed.
    asio::awaitable<bool> serve_request() {
        // No destructor counts the request, because the frames of open requests are destroyed
        // after the server.
        m_server.m_open_requests.fetch_add(1);
        bool may_continue = false;
        try {
            may_continue = co_await read_and_answer();
        } catch (const std::exception& error) {
            log_warning("connection_failed", {{"detail", error.what()}});
        }
        m_server.m_open_requests.fetch_sub(1);
        co_return may_continue;
    }

    asio::awaitable<bool> read_and_answer() {
        m_limits = m_server.limits();
        m_memory.enter(holder_phase::receiving);
        m_stream.expires_after(m_limits.request_timeout);
        http_request request;
        const auto end = co_await read_request(request);
        if (end != body_end::complete) {
            m_memory.hold(0);
            if (end == body_end::no_memory) {
                co_await refuse_for_memory();
            } else if (end == body_end::answered) {
                co_await discard_remaining_input(m_limits.request_timeout);
            }
            co_return false;
        }
        const bool may_continue = co_await answer(std::move(request));
        if (m_buffer.size() == 0 && m_buffer.capacity() > max_idle_buffer_bytes) {
            m_buffer = beast::flat_buffer(max_buffered_bytes);
        }
        m_memory.hold(0);
        co_return m_memory.enter(holder_phase::idle) && may_continue;
    }

    /// Reads a request as far as the account lends memory for it. Answers what cannot be
    /// read and what needs no body.
    asio::awaitable<body_end> read_request(http_request& request) {
        request_parser parser;
        parser.header_limit(std::min(m_limits.header_bytes, max_buffered_bytes));
        parser.body_limit(m_limits.body_bytes);
        const auto [failed, size] =
            co_await http::async_read_header(m_stream, m_buffer, parser, use_tuple);
        if (failed) {
            co_await answer_read_error(failed);
            co_return body_end::failed;
        }
        std::string body;
        body_reader reader(m_stream, m_buffer, parser, m_memory);
        const auto [end, error] = co_await reader.read(
            body, [this, &parser]() { return answer_head(parser.get().base()); });
        if (error) {
            std::string().swap(body);
            m_memory.hold(0);
            co_await answer_read_error(error);
        }
        if (end == body_end::complete) {
            request = http_request(std::move(parser.release().base()));
            request.body() = std::move(body);
        }
        co_return end;
    }

    /// Answers a request without its body. Returns false if the body is needed.
    asio::awaitable<bool> answer_head(const http::request_header<>& head) {
        if (!m_server.m_accounting.answer_head) {
            co_return false;
        }
        const http_request request(head);
        response_writer writer(
            [this](std::array<asio::const_buffer, 3> buffers) { return write_all(buffers); }, false,
            request.method() != http::verb::head);
        m_stream.expires_never();
        const bool is_answered = co_await m_server.m_accounting.answer_head(request, writer);
        m_stream.expires_after(m_limits.request_timeout);
        co_return is_answered;
    }

    /// Tells the peer that its request has not run and may be repeated.
    asio::awaitable<void> refuse_for_memory() {
        constexpr unsigned status_unavailable = 503;
        response_writer writer(
            [this](std::array<asio::const_buffer, 3> buffers) { return write_all(buffers); }, false,
            true);
        auto fields = content_type_field("application/json");
        fields.push_back({"Savoryrelay-Outcome", "not-run"});
        fields.push_back({"Retry-After", "1"});
        m_stream.expires_never();
        const auto failed =
            co_await writer.send(status_unavailable, std::move(fields), memory_error_text);
        if (!failed) {
            co_await discard_remaining_input(refusal_read_time);
        }
    }

    asio::awaitable<bool> answer(http_request request) {
        response_writer writer(
            [this](std::array<asio::const_buffer, 3> buffers) { return write_all(buffers); },
            request.keep_alive() && !m_server.m_stopping.load() && !m_server.m_closing.load(),
            request.method() != http::verb::head);
        writer.set_borrow_hook(
            [this](std::size_t bytes) { return m_memory.borrow_further(bytes); });
        m_stream.expires_never();
        m_writer = &writer;
        // The caller may have gone while the process was paused.
        if (is_closed_by_peer()) {
            writer.notify_caller_gone();
        } else {
            detect_caller_gone();
        }
        const auto error = co_await run_handler(std::move(request), writer);
        m_writer = nullptr;
        // The hook refers to the frame of the handler.
        writer.on_caller_gone(nullptr);
        if (error) {
            co_await answer_handler_error(error, writer);
        }
        if (!writer.complete() && !writer.is_caller_gone()) {
            log_warning("request_without_answer",
                        {{"reason", writer.started() ? "answer_cut" : "no_answer"}});
        }
        co_return writer.complete() && writer.keep_alive();
    }

    /// Sends all buffers. The time limit starts again with each part that the peer takes.
    asio::awaitable<error_code> write_all(std::array<asio::const_buffer, 3> buffers) {
        const bool is_large = asio::buffer_size(buffers) > max_written_bytes;
        const auto next_part_limit = [this, is_large](const error_code& failed, std::size_t) {
            m_watchdog.extend(m_limits.write_timeout);
            if (is_large) {
                m_memory.enter(holder_phase::sending);
            }
            return failed ? std::size_t{0} : std::size_t{max_written_bytes};
        };
        const auto [error, written] =
            co_await asio::async_write(m_stream, buffers, next_part_limit, use_tuple);
        m_watchdog.disarm();
        if (is_large) {
            m_memory.enter(holder_phase::serving);
        }
        m_has_write_failed = m_has_write_failed || error;
        co_return error;
    }

    /// Runs the handler. Returns the exception that it threw, or null.
    asio::awaitable<std::exception_ptr> run_handler(http_request request, response_writer& writer) {
        try {
            co_await m_server.m_handler(std::move(request), writer);
        } catch (...) {
            co_return std::current_exception();
        }
        co_return nullptr;
    }

    /// Refuses the request if its answer has not begun, and makes the connection close.
    asio::awaitable<void> answer_handler_error(std::exception_ptr error, response_writer& writer) {
        log_warning("request_failed", {{"detail", describe(error)}});
        writer.abandon();
        if (writer.started()) {
            co_return;
        }
        constexpr unsigned status_server_error = 500;
        auto fields = content_type_field("application/json");
        fields.push_back({"Savoryrelay-Outcome", "unknown"});
        co_await writer.send(status_server_error, std::move(fields), handler_error_text);
    }

    /// Detects that the caller closes the connection while its request is answered.
    /// At most one wait is pending. If the caller keeps the connection open, the wait
    /// continues after the answer and ends when the next request arrives.
    void detect_caller_gone() {
        if (std::exchange(m_caller_wait_pending, true)) {
            return;
        }
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self = shared_from_this()](const error_code& failed) {
                self->m_caller_wait_pending = false;
                if (failed || self->m_writer == nullptr) {
                    return;
                }
                char byte = 0;
                const auto received = ::recv(self->m_stream.socket().native_handle(), &byte,
                                             sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
                if (received > 0) {
                    return; // the next request has begun to arrive
                }
                if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    self->detect_caller_gone();
                    return;
                }
                self->m_writer->notify_caller_gone();
            });
    }

    /// Answers a request that is too large or malformed. Other read errors get no answer.
    asio::awaitable<void> answer_read_error(error_code failed) {
        const bool too_large =
            failed == http::error::body_limit || failed == http::error::header_limit;
        const bool malformed =
            failed.category() == make_error_code(http::error::bad_method).category() &&
            failed != http::error::end_of_stream && failed != http::error::partial_message;
        if (!too_large && !malformed) {
            co_return;
        }
        response_writer writer(
            [this](std::array<asio::const_buffer, 3> buffers) -> asio::awaitable<error_code> {
                m_stream.expires_after(m_limits.write_timeout);
                const auto [error, written] =
                    co_await asio::async_write(m_stream, buffers, use_tuple);
                co_return error;
            },
            false, true);
        const unsigned status = too_large ? 413 : 400;
        auto fields = content_type_field("application/json");
        fields.push_back({"Savoryrelay-Outcome", "not-run"});
        co_await writer.send(status, std::move(fields), read_error_text(status));
        co_await discard_remaining_input(m_limits.request_timeout);
    }

    /// Reads and discards the rest of the peer's data. Closing a socket with unread
    /// data resets the connection, and the peer would not receive the refusal.
    asio::awaitable<void> discard_remaining_input(state::milliseconds limit) {
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_buffer = beast::flat_buffer(max_buffered_bytes);
        std::size_t discarded = 0;
        m_stream.expires_after(limit);
        while (discarded < max_discarded_bytes) {
            const auto [failed, size] = co_await m_stream.async_read_some(
                m_buffer.prepare(discard_buffer_bytes), use_tuple);
            if (failed) {
                co_return;
            }
            discarded += size;
        }
    }

    http_server& m_server;
    http_limits m_limits = m_server.limits(); // limits of the current request
    std::uint64_t m_id;
    beast::tcp_stream m_stream;
    progress_watchdog m_watchdog; // cancels an idle wait or a write at its time limit
    connection_memory m_memory;
    beast::flat_buffer m_buffer{max_buffered_bytes};
    response_writer* m_writer = nullptr; // writer of the current request, or null
    bool m_caller_wait_pending = false;  // a wait of detect_caller_gone is pending
    bool m_has_write_failed = false;
    bool m_idle = false; // true while waiting for the first byte of a request
};

http_server::http_server(io_threads& threads, const std::string& address, std::uint16_t port,
                         http_limits limits, request_handler handler, server_accounting accounting)
    : m_threads(threads), m_limits(limits), m_handler(std::move(handler)),
      m_accounting(std::move(accounting)), m_acceptor(threads.context(0)) {
    const tcp::endpoint local(asio::ip::make_address(address), port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    m_port = m_acceptor.local_endpoint().port();
    start_control_loop(m_threads.context(0), "accept", [this] { return accept_loop(); });
}

http_server::~http_server() {
    stop_accepting();
}

asio::awaitable<void> http_server::accept_loop() {
    bool is_failing = false;
    while (!m_stopping.load()) {
        auto& context = m_threads.next();
        auto [failed, socket] = co_await m_acceptor.async_accept(context, use_tuple);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            if (!std::exchange(is_failing, true)) {
                log_warning("accept_failed", {{"detail", failed.message()}});
            }
            co_await pause_for(accept_retry_interval);
            continue;
        }
        is_failing = false;
        std::shared_ptr<connection> accepted;
        {
            const std::scoped_lock lock(m_connections_mutex);
            const auto id = m_next_connection++;
            accepted = std::make_shared<connection>(*this, id, std::move(socket));
            m_connections.emplace(id, accepted);
        }
        asio::co_spawn(
            context, [accepted]() -> asio::awaitable<void> { co_await accepted->run(); },
            asio::detached);
    }
}

void http_server::stop_accepting() {
    if (m_stopping.exchange(true)) {
        return;
    }
    asio::post(m_threads.context(0), [this] {
        error_code ignored;
        m_acceptor.close(ignored);
    });
    const std::scoped_lock lock(m_connections_mutex);
    for (const auto& [id, weak] : m_connections) {
        if (const auto open = weak.lock()) {
            open->close_if_idle();
        }
    }
}

void http_server::wait_until_idle() {
    std::unique_lock lock(m_connections_mutex);
    m_became_idle.wait(lock, [this] { return m_connections.empty(); });
}

std::size_t http_server::open_connections() const {
    const std::scoped_lock lock(m_connections_mutex);
    return m_connections.size();
}

void http_server::remove_connection(std::uint64_t id) {
    const std::scoped_lock lock(m_connections_mutex);
    m_connections.erase(id);
    if (m_connections.empty()) {
        m_became_idle.notify_all();
    }
}

} // namespace savoryrelay::transport
