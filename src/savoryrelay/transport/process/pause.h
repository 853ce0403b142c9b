// A pause of a coroutine.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savoryrelay::transport {

/// Waits for `span` without holding the calling coroutine's thread.
inline boost::asio::awaitable<void> pause_for(state::milliseconds span) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, span);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace savoryrelay::transport
