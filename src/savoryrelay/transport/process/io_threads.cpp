// Starts and stops the socket threads.
#include "savoryrelay/transport/process/io_threads.h"

#include "savoryrelay/transport/process/log.h"

#include <algorithm>
#include <exception>

namespace savoryrelay::transport {
namespace {

// Runs handlers until the context is stopped. One that throws ends only itself.
void run_handlers(boost::asio::io_context& context) {
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            log_warning("handler_failed", {{"detail", error.what()}});
        }
    }
}

} // namespace

io_threads::io_threads(std::size_t count) {
    for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) {
        m_shards.push_back(std::make_unique<shard>());
    }
    for (auto& each : m_shards) {
        each->thread = std::thread([context = &each->context] { run_handlers(*context); });
    }
}

io_threads::~io_threads() {
    stop();
}

boost::asio::io_context& io_threads::context(std::size_t index) {
    return m_shards.at(index)->context;
}

boost::asio::io_context& io_threads::next() {
    return m_shards[m_next.fetch_add(1, std::memory_order_relaxed) % m_shards.size()]->context;
}

void io_threads::stop() {
    for (auto& each : m_shards) {
        each->context.stop();
    }
    for (auto& each : m_shards) {
        if (each->thread.joinable()) {
            each->thread.join();
        }
    }
}

} // namespace savoryrelay::transport
