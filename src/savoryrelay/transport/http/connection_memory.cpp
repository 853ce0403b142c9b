// Waits for memory by asking again, because a waiting connection leaves its socket unread.
#include "savoryrelay/transport/http/connection_memory.h"

#include "savoryrelay/transport/process/pause.h"

#include <chrono>
#include <utility>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using coordination::loan;

namespace {

// A wait for memory that lasts longer ends in a refusal.
constexpr state::milliseconds max_memory_wait{2'000};

} // namespace

connection_memory::~connection_memory() {
    if (m_is_open) {
        m_account->remove(m_id);
    }
}

void connection_memory::open(coordination::listener from, std::function<void()> evict) {
    if (m_account == nullptr) {
        return;
    }
    m_id = m_account->add(from, std::move(evict), std::chrono::steady_clock::now());
    m_is_open = true;
    hold(0);
}

bool connection_memory::hold(std::uint64_t bytes) {
    if (m_is_open && m_account->hold(m_id, connection_bytes + bytes,
                                     std::chrono::steady_clock::now()) != loan::granted) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

asio::awaitable<bool> connection_memory::borrow(std::uint64_t bytes) {
    const auto asked_at = std::chrono::steady_clock::now();
    while (!hold(bytes)) {
        if (m_is_evicted || std::chrono::steady_clock::now() - asked_at >= max_memory_wait) {
            co_return false;
        }
        co_await pause_for(coordination::loan_retry_interval);
    }
    co_return true;
}

asio::awaitable<bool> connection_memory::borrow_further(std::uint64_t bytes) {
    return borrow(m_bytes + bytes);
}

bool connection_memory::enter(coordination::holder_phase phase) {
    return !m_is_open || m_account->enter(m_id, phase, std::chrono::steady_clock::now());
}

} // namespace savoryrelay::transport
