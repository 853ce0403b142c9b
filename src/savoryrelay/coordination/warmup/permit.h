// Messages and settings of the fleet-wide allowance of a cold endpoint.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// Settings that holder and routers of a deployment share.
struct warmup_settings {
    std::uint32_t cold_allowance = 2; ///< concurrent requests of a cold endpoint, >= 1
    std::uint32_t capacity = 16;      ///< concurrent requests when warm
    /// Allowance gained for each completed request. With 1, the allowance
    /// doubles in the time of one request.
    double growth_per_completion = 1.0;
    state::milliseconds term{2'000};             ///< a permit may start requests so long
    state::milliseconds longest_request{30'000}; ///< bound on a request at a cold endpoint
    state::milliseconds margin{500};             ///< for clocks that run at unequal rates
    state::milliseconds reply_timeout{50};       ///< a grant without a reply is given up
};

/// A router asks for permits.
struct permit_request {
    state::member_id router;
    std::uint64_t incarnation = 0; ///< of the router
    std::uint64_t number = 0;      ///< grows with each request of the incarnation
    state::endpoint_id endpoint;
    std::uint32_t wanted = 1;
};

/// The holder's answer. A late one is void by itself, since the router counts
/// the term from when it sent the request.
struct permit_reply {
    permit_request request;
    std::uint32_t granted = 0;
};

/// A router's account of one grant. Repeated and reordered accounts are
/// harmless: `kept` only falls and `completed` only grows.
struct permit_account {
    permit_request request;
    std::uint32_t kept = 0;      ///< permits in use or still wanted
    std::uint32_t completed = 0; ///< requests completed under the grant so far
};

/// Parts of the mechanism that tests replace by naive ones.
struct warmup_hooks {
    /// When a successor may grant, from when it took over.
    std::function<state::time_point(const warmup_settings&, state::time_point taken_over)>
        successor_grants_from;
    /// When a grant stops counting at the holder, from when it was granted.
    std::function<state::time_point(const warmup_settings&, state::time_point granted)>
        counted_until;
    /// When a permit stops starting requests at the router.
    std::function<state::time_point(const warmup_settings&, state::time_point sent,
                                    state::time_point received)>
        usable_until;
};

/// The rules of the design page.
[[nodiscard]] warmup_hooks default_warmup_hooks();

} // namespace savoryrelay::coordination
