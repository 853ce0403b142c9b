// Runs the loops that keep a process's state current, such as the exchange with peers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace savoryrelay::transport {

/// Runs `loop` on `context` until it returns. If it throws, logs `control_loop_failed` with
/// `name` and runs it again after a pause, because a process whose loop has ended would
/// continue with state that is no longer updated.
void start_control_loop(boost::asio::io_context& context, std::string name,
                        std::function<boost::asio::awaitable<void>()> loop);

} // namespace savoryrelay::transport
