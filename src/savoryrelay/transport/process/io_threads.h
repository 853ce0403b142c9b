// Threads that run the sockets of a process. Each thread has its own io_context, so a
// connection and its timers stay on one thread and need no strand.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace savoryrelay::transport {

/// A fixed number of threads, each running one io_context. A handler that throws is logged
/// as `handler_failed`, and its thread continues.
class io_threads {
public:
    /// Starts `count` threads, at least one.
    explicit io_threads(std::size_t count);
    /// Stops the contexts and joins the threads.
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    /// Returns the number of threads.
    [[nodiscard]] std::size_t size() const { return m_shards.size(); }
    /// Returns the context of thread `index`.
    [[nodiscard]] boost::asio::io_context& context(std::size_t index);
    /// Returns the contexts in turn (round robin).
    [[nodiscard]] boost::asio::io_context& next();
    /// Stops the contexts and joins the threads. Pending handlers do not run.
    void stop();

private:
    struct shard {
        boost::asio::io_context context{1};
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
            context.get_executor()};
        std::thread thread;
    };

    std::vector<std::unique_ptr<shard>> m_shards; // not empty
    std::atomic<std::size_t> m_next{0};
};

} // namespace savoryrelay::transport
