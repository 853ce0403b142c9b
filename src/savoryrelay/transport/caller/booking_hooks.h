// Hooks through which the callers' front end stores bookings: calls that may run
// at most once.
#pragma once

#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// A service's complete answer, stored so that a repeated call receives it again.
struct stored_answer {
    unsigned status = 200;
    std::string content_type;
    std::string body;
};

/// Result of sending a booking to the service.
enum class booking_end {
    ran,     ///< the complete answer arrived
    not_run, ///< the service certainly did not run it
    unknown, ///< the service may have run it
};

/// Durable storage of calls that may not be repeated. Each completion is called
/// once, from any thread.
struct booking_hooks {
    /// Stores durably that the call is about to be sent. Completes without an answer
    /// if the call must be sent now, with the stored answer if it ran before, or with
    /// a failure.
    std::function<void(const coordination::call&, state::time_point now,
                       std::function<void(state::attempt<std::optional<stored_answer>>)>)>
        begin;
    /// Stores the outcome durably. The caller is answered only after the completion.
    std::function<void(const coordination::call&, booking_end, const stored_answer&,
                       state::time_point now, std::function<void(state::attempt<state::done>)>)>
        finish;
};

} // namespace savoryrelay::transport
