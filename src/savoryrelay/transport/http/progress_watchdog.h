// A watchdog whose deadline is extended at each step of a connection. Extending
// only stores the new deadline; a single timer checks it at coarse intervals.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace savoryrelay::transport {

/// Calls a hook when the deadline passes before it is extended. Used only on the
/// thread of its executor.
class progress_watchdog {
public:
    /// Maximum delay between the deadline and the call of the hook. The deadline is
    /// checked at intervals because starting and cancelling a timer at each step
    /// cost more processor time than relaying a token.
    static constexpr state::milliseconds granularity{100};

    /// `expired` is called on the executor, at most once per deadline.
    progress_watchdog(boost::asio::any_io_executor executor, std::function<void()> expired);
    ~progress_watchdog();
    progress_watchdog(const progress_watchdog&) = delete;
    progress_watchdog& operator=(const progress_watchdog&) = delete;

    /// Sets the deadline to `span` from now.
    void extend(state::milliseconds span);
    /// Removes the deadline.
    void disarm();

private:
    struct shared_state;

    // Shared with the timer's handler, which may run after this object is destroyed.
    std::shared_ptr<shared_state> m_state;
};

} // namespace savoryrelay::transport
