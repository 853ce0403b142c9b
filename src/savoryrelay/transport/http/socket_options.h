// Options and ends of the TCP connections between hosts and endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace savoryrelay::transport {

/// Disables Nagle's algorithm and sets TCP keepalive and a TCP user timeout, which detect a peer
/// that can no longer be reached.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

/// Closes the socket at once, if it is open. Resets the connection if the peer has not
/// acknowledged all bytes, so that what was given up does not reach the peer later.
void close_at_once(boost::asio::ip::tcp::socket& socket);

/// Closes the socket at once, if it is open, and resets the connection.
void reset_connection(boost::asio::ip::tcp::socket& socket);

} // namespace savoryrelay::transport
