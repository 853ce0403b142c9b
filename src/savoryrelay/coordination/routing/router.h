// Chooses the endpoint of a request. The decision is a pure function of a
// view, the request, the present time and a source of random numbers.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace savoryrelay::coordination {

/// Source of random numbers of decisions. Seeded by the caller.
using random_source = std::mt19937_64;

/// An endpoint that may take the request, with what is known of it.
struct route_candidate {
    state::endpoint_id endpoint;
    state::availability_zone_id availability_zone;
    std::uint32_t capacity = 1; ///< concurrent requests, >= 1
    state::endpoint_state state;
    bool has_prefix = false; ///< believed to hold the request's prompt prefix
};

/// What the router needs to know of a request.
struct route_request {
    state::availability_zone_id local_zone;   ///< zone of the deciding member
    std::vector<state::endpoint_id> excluded; ///< endpoints that failed this request
};

/// Chooses among candidates. Returns the index of the chosen one, or the
/// failure `no_endpoint` when none may take the request.
using choose_endpoint_hook = std::function<state::result<std::size_t>(
    const std::vector<route_candidate>& candidates, const route_request& request,
    state::time_point now, random_source& random)>;

/// The better of two random candidates by load corrected for what was sent
/// since the last report.
[[nodiscard]] state::result<std::size_t>
choose_endpoint(const std::vector<route_candidate>& candidates, const route_request& request,
                state::time_point now, random_source& random);

} // namespace savoryrelay::coordination
