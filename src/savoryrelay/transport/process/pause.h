// Suspends a coroutine for a given time.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savoryrelay::transport {

/// Suspends the calling coroutine for `span` without blocking its thread.
inline boost::asio::awaitable<void> pause_for(state::milliseconds span) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, span);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace savoryrelay::transport
