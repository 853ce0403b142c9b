// The part of one connection in the account of its process.
#pragma once

#include "savoryrelay/coordination/memory/memory_account.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>

namespace savoryrelay::transport {

/// Bytes that a connection takes beside its request and answer: its frames and buffers.
inline constexpr std::uint64_t connection_bytes = 16 * 1024;

/// Enters a connection into the account, if there is one, and removes it in the end. Used only
/// on the thread of the connection.
class connection_memory {
public:
    /// `account` may be null; then everything is granted.
    explicit connection_memory(coordination::memory_account* account) : m_account(account) {}
    ~connection_memory();
    connection_memory(const connection_memory&) = delete;
    connection_memory& operator=(const connection_memory&) = delete;

    /// Adds the connection. `evict` is called on any thread when it is to be closed.
    void open(coordination::listener from, std::function<void()> evict);

    /// Accounts for `bytes` beside `connection_bytes`, which may be less than before. Returns
    /// false if more is not granted at once.
    bool hold(std::uint64_t bytes);
    /// Like `hold`, but waits a bounded time for memory.
    boost::asio::awaitable<bool> borrow(std::uint64_t bytes);
    /// Like `borrow`, for `bytes` beside what is held.
    boost::asio::awaitable<bool> borrow_further(std::uint64_t bytes);
    /// Notes the begin of a phase, or progress in it. Returns false if the connection is to be
    /// closed.
    bool enter(coordination::holder_phase phase);

    void note_evicted() { m_is_evicted = true; }
    [[nodiscard]] bool is_evicted() const { return m_is_evicted; }

private:
    coordination::memory_account* m_account;
    coordination::memory_account::holder_id m_id = 0; // valid if m_is_open
    std::uint64_t m_bytes = 0;                        // beside connection_bytes
    bool m_is_open = false;
    bool m_is_evicted = false;
};

} // namespace savoryrelay::transport
