// Waits for the signals that stop a process or make it reload its settings.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <array>
#include <csignal>

namespace savoryrelay::transport {

/// Action that a signal requests.
enum class signal_action { stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in the threads that it
/// starts later; `next` and `wait` receive them. Construct it before any thread starts.
class process_signals {
public:
    process_signals();

    /// Waits for the next signal and returns its action.
    [[nodiscard]] signal_action next();
    /// Waits until a signal requests a stop. Ignores reload requests.
    void wait();

private:
    sigset_t m_signals{};
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::signal_action> {
    using r = savoryrelay::transport::signal_action;
    static constexpr std::array rows{
        enum_name<r>{r::stop, "stop"},
        enum_name<r>{r::reload, "reload"},
    };
};
