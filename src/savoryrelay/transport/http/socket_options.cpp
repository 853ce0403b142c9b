// Sets options that Asio has no types for.
#include "savoryrelay/transport/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace savoryrelay::transport {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// The kernel closes a connection whose data stays unacknowledged for this long.
// The progress deadline of a stream is usually shorter; this limit covers
// connections without such a deadline.
constexpr int user_timeout_ms = 20'000;
constexpr int keepalive_idle_s = 10;
constexpr int keepalive_interval_s = 5;
constexpr int keepalive_probes = 3;

bool has_unacknowledged_bytes(tcp::socket& socket) {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace

void set_socket_options(tcp::socket& socket) {
    const auto set = [&](int level, int name, int value) {
        ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

void close_at_once(tcp::socket& socket) {
    if (!socket.is_open()) {
        return;
    }
    if (has_unacknowledged_bytes(socket)) {
        reset_connection(socket);
        return;
    }
    error_code ignored;
    socket.close(ignored);
}

void reset_connection(tcp::socket& socket) {
    if (!socket.is_open()) {
        return;
    }
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace savoryrelay::transport
