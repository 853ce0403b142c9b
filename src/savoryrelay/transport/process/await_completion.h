// Lets a coroutine wait for a completion callback that another thread calls.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace savoryrelay::transport {

/// Calls `start(completion)`, waits until a thread calls `completion(value)`, and
/// returns the value. The completion must be called exactly once, unless `start` throws;
/// the exception is then thrown to the coroutine. The coroutine resumes on its own executor.
template <typename Value, typename Start>
boost::asio::awaitable<Value> await_completion(Start start) {
    const auto executor = co_await boost::asio::this_coro::executor;
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                                   void(std::exception_ptr, Value)>(
        [executor](auto handler, Start run) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            const auto resume = [shared, executor](std::exception_ptr error, Value value) {
                boost::asio::post(executor, [shared, error, value = std::move(value)]() mutable {
                    (*shared)(error, std::move(value));
                });
            };
            // An exception that left the initiation would not reach the coroutine.
            try {
                run([resume](Value value) { resume(nullptr, std::move(value)); });
            } catch (...) {
                resume(std::current_exception(), Value());
            }
        },
        boost::asio::use_awaitable, std::move(start));
}

} // namespace savoryrelay::transport
