// Implements the watchdog with one timer that checks the deadline periodically.
#include "savoryrelay/transport/http/progress_watchdog.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savoryrelay::transport {

/// State that the watchdog shares with its timer's handler. At most one wait of the
/// timer is pending; `waiting` is true while it is.
struct progress_watchdog::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(const boost::asio::any_io_executor& executor, std::function<void()> hook)
        : timer(executor), expired(std::move(hook)) {}

    void start_wait() {
        waiting = true;
        const auto time_left = deadline - std::chrono::steady_clock::now();
        timer.expires_after(std::clamp<std::chrono::steady_clock::duration>(
            time_left, state::milliseconds(1), granularity));
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& failed) {
            self->waiting = false;
            if (!failed && self->armed) {
                self->check_deadline();
            }
        });
    }

    void check_deadline() {
        if (std::chrono::steady_clock::now() < deadline) {
            start_wait();
            return;
        }
        armed = false;
        expired();
    }

    boost::asio::steady_timer timer;
    std::function<void()> expired;
    state::time_point deadline{};
    bool armed = false;
    bool waiting = false;
};

progress_watchdog::progress_watchdog(boost::asio::any_io_executor executor,
                                     std::function<void()> expired)
    : m_state(std::make_shared<shared_state>(executor, std::move(expired))) {}

progress_watchdog::~progress_watchdog() {
    m_state->armed = false;
    m_state->timer.cancel();
}

void progress_watchdog::extend(state::milliseconds span) {
    m_state->deadline = std::chrono::steady_clock::now() + span;
    m_state->armed = true;
    if (!m_state->waiting) {
        m_state->start_wait();
    }
}

void progress_watchdog::disarm() {
    m_state->armed = false;
}

} // namespace savoryrelay::transport
