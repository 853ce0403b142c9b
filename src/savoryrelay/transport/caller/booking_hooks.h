// What the callers' front end asks of the bookings.
#pragma once

#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// A whole answer of a service, as it is kept for repeated calls.
struct stored_answer {
    unsigned status = 200;
    std::string content_type;
    std::string body;
};

/// How a booking's dispatch ended.
enum class booking_end {
    ran,     ///< the whole answer arrived
    not_run, ///< it is certain that the service did not run it
    unknown, ///< the service may have run it
};

/// The durable side of calls that may not be repeated. Completions may be
/// called from any thread, once.
struct booking_hooks {
    /// Makes the intent durable. Completes without an answer when the call is to
    /// be dispatched now, with the first answer when it ran before, or with a failure.
    std::function<void(const coordination::call&, state::time_point now,
                       std::function<void(state::attempt<std::optional<stored_answer>>)>)>
        begin;
    /// Makes the outcome durable, before the caller hears of it.
    std::function<void(const coordination::call&, booking_end, const stored_answer&,
                       state::time_point now, std::function<void(state::attempt<state::done>)>)>
        finish;
};

} // namespace savoryrelay::transport
