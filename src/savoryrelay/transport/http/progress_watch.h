// A deadline that is extended on each step of a connection. Extending it is a
// store, not a timer operation: one timer looks at it at coarse intervals.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace savoryrelay::transport {

/// Calls a hook when no step has been made within the granted time. Used on
/// one thread, that of its executor.
class progress_watch {
public:
    /// How late the hook may run after the deadline at most. A timer started and
    /// cancelled on each step cost more processor time than relaying a token.
    static constexpr state::milliseconds granularity{100};

    /// `expired` is called on the executor, at most once per deadline.
    progress_watch(boost::asio::any_io_executor executor, std::function<void()> expired);
    ~progress_watch();
    progress_watch(const progress_watch&) = delete;
    progress_watch& operator=(const progress_watch&) = delete;

    /// Grants `span` from now on.
    void extend(state::milliseconds span);
    /// Removes the deadline.
    void disarm();

private:
    struct shared_state;

    // Shared with the handler of the timer, which may run after this object ends.
    std::shared_ptr<shared_state> m_state;
};

} // namespace savoryrelay::transport
