// Accepts requests for tunnels, connects them to their endpoints and copies bytes.
#include "savoryrelay/transport/relay/relay_server.h"

#include "savoryrelay/transport/http/connection_memory.h"
#include "savoryrelay/transport/http/progress_watchdog.h"
#include "savoryrelay/transport/http/socket_options.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <array>
#include <chrono>
#include <ctime>
#include <exception>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using coordination::holder_phase;
using coordination::listener;
using protocol::relay_reply;
using state::milliseconds;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

// Interval of the check whether the asking host has gone while the endpoint takes no bytes.
constexpr milliseconds departure_check_interval{50};
// Time in which the asking host may close after an end or a refusal was sent to it.
constexpr milliseconds closing_time{1'000};
// Time after which the server accepts again when it could not, for want of descriptors.
constexpr milliseconds accept_retry_interval{50};
// Connections beside the tunnels that may wait for their line or a refusal.
constexpr std::size_t max_waiting_connections = 64;

state::time_point now() {
    // The steady clock does not count the time in which the host was suspended.
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return state::time_point(std::chrono::seconds(time.tv_sec) +
                             std::chrono::nanoseconds(time.tv_nsec));
}

// Returns whether the peer has closed or reset the connection, also if bytes of it are unread.
bool is_gone(tcp::socket& socket) {
    pollfd polled{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) != 0;
}

bool is_reset(const error_code& failed) {
    return failed == asio::error::connection_reset || failed == asio::error::broken_pipe;
}

} // namespace

/// A connection of a host that asks, and the one to its endpoint. Runs on one thread.
class relay_server::tunnel : public std::enable_shared_from_this<tunnel> {
public:
    tunnel(relay_server& server, std::uint64_t id, pause_detector& pauses, tcp::socket asking)
        : m_server(server), m_id(id), m_pauses(pauses), m_asking(std::move(asking)),
          m_endpoint(m_asking.get_executor()), m_memory(server.m_account),
          m_step_watch(m_asking.get_executor(), [this] { end_step(); }),
          m_request_watch(m_asking.get_executor(), [this] { check_request_write(); }),
          m_answer_watch(m_asking.get_executor(), [this] { abandon(); }) {}

    asio::any_io_executor executor() { return m_asking.get_executor(); }

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        try {
            set_socket_options(m_asking);
            open_memory(m_memory);
            const auto reply = co_await connect();
            if (reply == relay_reply::connected) {
                co_await copy();
            } else if (reply) {
                co_await refuse(*reply);
            }
        } catch (const std::exception& error) {
            log_warning("tunnel_failed", {{"detail", error.what()}});
        }
        end_by_asking_host();
        end_direction();
    }

    /// Ends the tunnel if its endpoint's connection is not open yet.
    void end_if_waiting() {
        if (!m_is_copying) {
            m_is_withdrawn = true;
            end_step();
        }
    }

private:
    void open_memory(connection_memory& memory) {
        memory.open(listener::peers, [weak = weak_from_this()] {
            if (auto open = weak.lock()) {
                const auto thread = open->executor();
                asio::post(thread, [evicted = std::move(open)] { evicted->evict(); });
            }
        });
    }

    void evict() {
        m_memory.note_evicted();
        if (m_is_copying) {
            abandon();
        }
        end_if_waiting();
    }

    /// Sets the time limit of the next step.
    void begin_step(milliseconds limit) {
        m_has_step_ended = false;
        m_step_watch.extend(limit);
    }

    /// Ends what the current step waits for.
    void end_step() {
        m_has_step_ended = true;
        error_code ignored;
        m_asking.cancel(ignored);
        m_endpoint.cancel(ignored);
    }

    /// Reads the request and connects to its endpoint. Returns the reply, or nothing if the
    /// asking host sent no line in time or has gone.
    asio::awaitable<std::optional<relay_reply>> connect() {
        const auto line = co_await read_line();
        if (!line) {
            co_return std::nullopt;
        }
        const auto request = protocol::decode_relay_request(*line);
        if (!request) {
            co_return relay_reply::malformed;
        }
        if (!take_slot() || !m_memory.hold(2 * relay_limits::buffer_bytes)) {
            co_return relay_reply::overloaded;
        }
        const auto route = m_server.m_hooks.find_route(request->endpoint, request->started_ms);
        if (const auto* refusal = std::get_if<relay_reply>(&route)) {
            co_return *refusal;
        }
        const auto& address = std::get<state::member_address>(route);
        const auto failed = co_await connect_endpoint(address);
        if (m_is_withdrawn || is_gone(m_asking)) {
            co_return std::nullopt;
        }
        if (m_server.m_hooks.note_connect) {
            m_server.m_hooks.note_connect(request->endpoint, failed);
        }
        if (!failed) {
            co_return relay_reply::connected;
        }
        if (!m_server.m_hooks.explain_failure) {
            co_return relay_reply::unreachable;
        }
        co_return co_await m_server.m_hooks.explain_failure(request->endpoint);
    }

    /// Returns the bytes up to the first line end or the size limit, or nothing.
    asio::awaitable<std::optional<std::string>> read_line() {
        begin_step(m_server.m_limits.line_timeout);
        std::string line;
        while (line.find('\n') == std::string::npos &&
               line.size() < protocol::max_relay_line_bytes) {
            std::array<char, protocol::max_relay_line_bytes> bytes{};
            const auto [failed, size] = co_await m_asking.async_read_some(
                asio::buffer(bytes.data(), bytes.size() - line.size()), use_tuple);
            if (failed || m_has_step_ended) {
                co_return std::nullopt;
            }
            line.append(bytes.data(), size);
        }
        m_step_watch.disarm();
        co_return line;
    }

    asio::awaitable<error_code> connect_endpoint(const state::member_address& address) {
        error_code failed;
        const auto ip = asio::ip::make_address(address.ip, failed);
        if (failed) {
            co_return failed;
        }
        begin_step(m_server.m_limits.connect_timeout);
        std::tie(failed) =
            co_await m_endpoint.async_connect(tcp::endpoint(ip, address.port), use_tuple);
        m_step_watch.disarm();
        if (!failed && m_has_step_ended) {
            failed = asio::error::operation_aborted;
        }
        if (!failed) {
            set_socket_options(m_endpoint);
        }
        co_return failed;
    }

    /// Sends a refusal and waits until the asking host has closed, because unread bytes would
    /// make the close discard it.
    asio::awaitable<void> refuse(relay_reply reply) {
        error_code failed;
        close_at_once(m_endpoint);
        begin_step(closing_time);
        const auto line = protocol::encode_relay_reply(reply);
        std::tie(failed, std::ignore) =
            co_await asio::async_write(m_asking, asio::buffer(line), use_tuple);
        if (!failed) {
            m_asking.shutdown(tcp::socket::shutdown_send, failed);
        }
        std::array<char, protocol::max_relay_line_bytes> dropped{};
        while (!failed && !m_has_step_ended) {
            std::tie(failed, std::ignore) =
                co_await m_asking.async_read_some(asio::buffer(dropped), use_tuple);
        }
    }

    /// Confirms the connection and copies both ways until the tunnel has ended.
    asio::awaitable<void> copy() {
        m_memory.enter(holder_phase::serving);
        begin_step(m_server.m_limits.line_timeout);
        const auto line = protocol::encode_relay_reply(relay_reply::connected);
        const auto [failed, size] =
            co_await asio::async_write(m_asking, asio::buffer(line), use_tuple);
        m_step_watch.disarm();
        if (failed || m_is_withdrawn) {
            co_return;
        }
        m_is_copying = true;
        m_request.resize(relay_limits::buffer_bytes);
        m_answer.resize(relay_limits::buffer_bytes);
        ++m_directions;
        asio::co_spawn(
            executor(),
            [self = shared_from_this()]() -> asio::awaitable<void> {
                co_await self->copy_to_asking_host();
                self->end_direction();
            },
            asio::detached);
        co_await copy_to_endpoint();
    }

    asio::awaitable<void> copy_to_endpoint() {
        while (!m_is_closed) {
            const auto [failed, size] =
                co_await m_asking.async_read_some(asio::buffer(m_request), use_tuple);
            if (failed || m_is_closed || (m_drops_requests && m_has_step_ended)) {
                co_return;
            }
            if (m_drops_requests) {
                continue;
            }
            // A request that was given up must not reach the endpoint.
            if (is_gone(m_asking)) {
                reset_connection(m_endpoint);
                co_return;
            }
            if (m_pauses.may_be_late(now())) {
                log_warning("tunnel_ended", {{"reason", "the process was paused"}});
                abandon();
                continue;
            }
            const auto written = co_await write_to_endpoint(size);
            if (written) {
                m_was_reset = m_was_reset || is_reset(written);
                m_drops_requests = true;
            }
        }
    }

    /// Writes the first `size` bytes of `m_request`.
    asio::awaitable<error_code> write_to_endpoint(std::size_t size) {
        m_request_progress = now();
        m_request_watch.extend(departure_check_interval);
        const auto note_progress = [this](const error_code& failed, std::size_t) {
            m_request_progress = now();
            return failed ? std::size_t{0} : relay_limits::buffer_bytes;
        };
        const auto [failed, written] = co_await asio::async_write(
            m_endpoint, asio::buffer(m_request.data(), size), note_progress, use_tuple);
        m_request_watch.disarm();
        co_return failed;
    }

    /// Checks a write to the endpoint that waits.
    void check_request_write() {
        if (m_is_closed || m_drops_requests) {
            return;
        }
        if (is_gone(m_asking)) {
            reset_connection(m_endpoint);
            end_by_asking_host();
        } else if (now() - m_request_progress >= m_server.m_limits.write_timeout) {
            abandon();
        } else {
            m_request_watch.extend(departure_check_interval);
        }
    }

    asio::awaitable<void> copy_to_asking_host() {
        while (!m_is_closed) {
            const auto [failed, size] =
                co_await m_endpoint.async_read_some(asio::buffer(m_answer), use_tuple);
            if (failed == asio::error::eof) {
                // A write may have taken a reset off the socket and be about to complete.
                co_await asio::post(executor(), asio::use_awaitable);
            }
            if (m_is_closed || !m_endpoint.is_open()) {
                co_return;
            }
            if (failed) {
                end_by_endpoint(failed);
                co_return;
            }
            const auto written = co_await write_to_asking_host(size);
            if (written) {
                end_by_asking_host();
            }
        }
    }

    /// Writes the first `size` bytes of `m_answer`.
    asio::awaitable<error_code> write_to_asking_host(std::size_t size) {
        const auto extend = [this](const error_code& failed, std::size_t) {
            m_answer_watch.extend(m_server.m_limits.write_timeout);
            return failed ? std::size_t{0} : relay_limits::buffer_bytes;
        };
        const auto [failed, written] = co_await asio::async_write(
            m_asking, asio::buffer(m_answer.data(), size), extend, use_tuple);
        m_answer_watch.disarm();
        co_return failed;
    }

    /// Ends the tunnel after the asking host has closed or reset it.
    void end_by_asking_host() {
        m_is_closed = true;
        close_at_once(m_endpoint);
        error_code ignored;
        m_asking.close(ignored);
    }

    /// Passes on the end of the endpoint's connection, or resets the asking host's if the
    /// endpoint's was reset or lost.
    void end_by_endpoint(const error_code& failed) {
        if (m_was_reset || failed != asio::error::eof) {
            m_is_closed = true;
            reset_connection(m_asking);
            close_at_once(m_endpoint);
        } else {
            close_at_once(m_endpoint);
            send_end();
        }
    }

    /// Ends the tunnel for a reason of this host. An end without a reset would complete an answer
    /// that has no length.
    void abandon() {
        m_is_closed = true;
        reset_connection(m_endpoint);
        reset_connection(m_asking);
    }

    /// Sends the end of the bytes, and closes when the asking host does or after a time.
    /// Further bytes of the asking host are dropped: unread ones would make the close a reset,
    /// which discards what it has not received.
    void send_end() {
        m_drops_requests = true;
        error_code ignored;
        m_asking.shutdown(tcp::socket::shutdown_send, ignored);
        begin_step(closing_time);
    }

    /// Takes the room of a tunnel, if there is any.
    bool take_slot() {
        m_has_slot = m_server.m_used_slots.fetch_add(1) < m_server.m_limits.max_tunnels;
        if (!m_has_slot) {
            m_server.m_used_slots.fetch_sub(1);
        }
        return m_has_slot;
    }

    /// Called at the end of each coroutine of the tunnel. No destructor does it, because frames
    /// are destroyed after the server.
    void end_direction() {
        if (--m_directions > 0) {
            return;
        }
        if (m_has_slot) {
            m_server.m_used_slots.fetch_sub(1);
        }
        m_server.remove_tunnel(m_id);
    }

    relay_server& m_server;
    const std::uint64_t m_id;
    pause_detector& m_pauses; // of the thread of the tunnel
    tcp::socket m_asking;
    tcp::socket m_endpoint;
    connection_memory
        m_memory; // of both sides; endpoints take no part of the listener's connections
    std::vector<char> m_request;    // on its way to the endpoint
    std::vector<char> m_answer;     // on its way to the asking host
    progress_watchdog m_step_watch; // before the copying and at its end
    progress_watchdog m_request_watch;
    progress_watchdog m_answer_watch;
    state::time_point m_request_progress{}; // of the write to the endpoint
    int m_directions = 1;                   // coroutines that run
    bool m_has_slot = false;
    bool m_has_step_ended = false; // the time limit of the step has expired
    bool m_is_withdrawn = false;   // this host ends the tunnel before it is open
    bool m_is_copying = false;
    bool m_drops_requests = false; // the endpoint takes no bytes any more
    bool m_was_reset = false;      // the endpoint has reset its connection
    bool m_is_closed = false;
};

relay_server::relay_server(io_threads& threads, const std::string& address, std::uint16_t port,
                           relay_hooks hooks, coordination::memory_account* account,
                           relay_limits limits)
    : m_threads(threads), m_hooks(std::move(hooks)), m_account(account), m_limits(limits),
      m_acceptor(threads.context(0)) {
    const tcp::endpoint local(asio::ip::make_address(address), port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    m_port = m_acceptor.local_endpoint().port();
    for (std::size_t i = 0; i < m_threads.size(); ++i) {
        m_pauses.emplace(&m_threads.context(i),
                         std::make_unique<pause_detector>(m_limits.max_thread_gap, now()));
    }
    for (const auto& [context, pauses] : m_pauses) {
        start_control_loop(*context, "tick",
                           [this, detector = pauses.get()] { return tick_loop(*detector); });
    }
    start_control_loop(m_threads.context(0), "accept_tunnels", [this] { return accept_loop(); });
}

relay_server::~relay_server() {
    stop_accepting();
}

asio::awaitable<void> relay_server::tick_loop(pause_detector& pauses) {
    while (true) {
        pauses.tick(now());
        co_await pause_for(pause_detector::tick_interval);
    }
}

asio::awaitable<void> relay_server::accept_loop() {
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
        start_tunnel(context, std::move(socket));
    }
}

void relay_server::start_tunnel(asio::io_context& context, tcp::socket socket) {
    std::shared_ptr<tunnel> accepted;
    {
        const std::scoped_lock lock(m_tunnels_mutex);
        if (m_stopping.load() ||
            m_tunnels.size() >= m_limits.max_tunnels + max_waiting_connections) {
            return; // closes the socket
        }
        const auto id = m_next_tunnel++;
        accepted = std::make_shared<tunnel>(*this, id, *m_pauses.at(&context), std::move(socket));
        m_tunnels.emplace(id, accepted);
    }
    asio::co_spawn(
        context,
        [opened = std::move(accepted)]() -> asio::awaitable<void> { co_await opened->run(); },
        asio::detached);
}

void relay_server::stop_accepting() {
    if (m_stopping.exchange(true)) {
        return;
    }
    asio::post(m_threads.context(0), [this] {
        error_code ignored;
        m_acceptor.close(ignored);
    });
    const std::scoped_lock lock(m_tunnels_mutex);
    for (const auto& [id, weak] : m_tunnels) {
        if (auto open = weak.lock()) {
            const auto thread = open->executor();
            asio::post(thread, [waiting = std::move(open)] { waiting->end_if_waiting(); });
        }
    }
}

std::size_t relay_server::open_tunnels() const {
    const std::scoped_lock lock(m_tunnels_mutex);
    return m_tunnels.size();
}

void relay_server::remove_tunnel(std::uint64_t id) {
    const std::scoped_lock lock(m_tunnels_mutex);
    m_tunnels.erase(id);
}

} // namespace savoryrelay::transport
