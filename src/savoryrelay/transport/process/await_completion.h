// Lets a coroutine wait for a completion callback that another thread calls.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace savoryrelay::transport {

/// Calls `start(completion)`, waits until a thread calls `completion(value)`, and
/// returns the value. The completion must be called exactly once. The coroutine resumes
/// on its own executor.
template <typename Value, typename Start>
boost::asio::awaitable<Value> await_completion(Start start) {
    const auto executor = co_await boost::asio::this_coro::executor;
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                                   void(Value)>(
        [executor](auto handler, Start run) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            run([shared, executor](Value value) {
                boost::asio::post(executor, [shared, value = std::move(value)]() mutable {
                    (*shared)(std::move(value));
                });
            });
        },
        boost::asio::use_awaitable, std::move(start));
}

} // namespace savoryrelay::transport
