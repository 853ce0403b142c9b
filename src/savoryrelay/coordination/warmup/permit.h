// Defines the messages and settings of the cold allowance: the limit on the
// concurrent requests that all routers together send to a cold endpoint.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// Settings that the lease holder and the routers of a deployment share.
struct warmup_settings {
    std::uint32_t cold_allowance = 2; ///< concurrent requests of a cold endpoint, >= 1
    std::uint32_t capacity = 16;      ///< concurrent requests when warm
    /// Increase of the allowance for each completed request. With 1, the
    /// allowance doubles in the duration of one request.
    double growth_per_completion = 1.0;
    state::milliseconds term{2'000};             ///< period in which a permit may start requests
    state::milliseconds longest_request{30'000}; ///< upper bound on a request at a cold endpoint
    state::milliseconds margin{500};             ///< allows for clocks that run at different rates
    state::milliseconds reply_timeout{50};       ///< maximum wait for the reply to a permit request
};

/// A router's request for permits.
struct permit_request {
    state::member_id router;
    std::uint64_t incarnation = 0; ///< of the router
    std::uint64_t number = 0;      ///< increases with each request of the incarnation
    state::endpoint_id endpoint;
    std::uint32_t wanted = 1;
};

/// The holder's reply. A late reply grants nothing usable, because the router
/// counts the term from the time at which it sent the request.
struct permit_reply {
    permit_request request;
    std::uint32_t granted = 0;
};

/// A router's usage report of one grant. Repeated and reordered reports are
/// harmless, because `remaining` never grows and `completed` never falls.
struct permit_usage {
    permit_request request;
    std::uint32_t remaining = 0; ///< permits in use or not yet used
    std::uint32_t completed = 0; ///< requests completed under the grant so far
};

/// Hooks for the parts of the mechanism that tests replace with naive versions.
struct warmup_hooks {
    /// Returns the time from which a successor may grant permits.
    std::function<state::time_point(const warmup_settings&, state::time_point lease_acquired_at)>
        successor_grants_from;
    /// Returns the time until which a grant counts at the holder.
    std::function<state::time_point(const warmup_settings&, state::time_point granted)>
        counted_until;
    /// Returns the time until which a permit may start requests at the router.
    std::function<state::time_point(const warmup_settings&, state::time_point sent,
                                    state::time_point received)>
        usable_until;
};

/// Returns the rules that the design page describes.
[[nodiscard]] warmup_hooks default_warmup_hooks();

} // namespace savoryrelay::coordination
