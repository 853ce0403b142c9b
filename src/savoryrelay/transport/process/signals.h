// Waiting for the signals that end or reload a process.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <array>
#include <csignal>

namespace savoryrelay::transport {

/// What a signal asks of the process.
enum class process_request { stop, reload };

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in threads that
/// start later, and hands them to `wait`. Make it before any thread starts.
class process_signals {
public:
    process_signals();

    /// Waits for the next signal.
    [[nodiscard]] process_request next();
    /// Waits until a signal asks to stop.
    void wait();

private:
    sigset_t m_signals{};
};

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::process_request> {
    using r = savoryrelay::transport::process_request;
    static constexpr std::array rows{
        enum_name<r>{r::stop, "stop"},
        enum_name<r>{r::reload, "reload"},
    };
};
