// Chooses the endpoint of a request. The decision depends only on a view of the
// endpoints, the request, the current time and a source of random numbers.
#pragma once

#include "savoryrelay/coordination/routing/route_score.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace savoryrelay::coordination {

/// Source of random numbers for decisions, seeded by the caller.
using random_source = std::mt19937_64;

/// Endpoints that probably cache a prefix, longest match first.
struct prefix_matches {
    struct match {
        std::uint32_t slot = 0;
        double fraction = 0; ///< fraction of the prefix that is cached, from 0 to 1
    };
    static constexpr std::size_t limit = 4;
    std::array<match, limit> rows{};
    std::size_t count = 0; ///< <= limit
};

/// A routing request whose endpoints are given as slots.
struct slot_request {
    route_needs needs;
    std::vector<std::uint64_t> prefix;   ///< digests of the prompt's prefixes, shortest first
    std::vector<std::uint32_t> excluded; ///< slots that failed this request
};

/// Access to a deployment's endpoints through hooks, so that a decision reads
/// only the few slots that it compares.
struct route_view {
    std::size_t count = 0; ///< slots are numbered from 0 to count - 1
    std::function<route_row(std::uint32_t slot)> read;
    /// Optional hook: returns the slots that probably cache a prefix.
    std::function<prefix_matches(const std::vector<std::uint64_t>& prefix)> find_prefix;
    route_summary summary;
};

/// Chooses the slot with the lowest score among a few random slots, the slots
/// that cache the prefix and the slot that the prefix hashes to. Walks all slots
/// only when none of these can accept the request. Fails with `no_endpoint` when
/// no slot can.
[[nodiscard]] state::result<std::uint32_t>
choose_slot(const route_view& view, const slot_request& request, const route_weights& weights,
            state::time_point now, random_source& random);

/// A candidate endpoint and its known state.
struct route_candidate {
    state::endpoint_id endpoint;
    state::availability_zone_id availability_zone;
    std::uint32_t capacity = 1; ///< concurrent requests, >= 1
    state::endpoint_state state;
    bool has_prefix = false; ///< probably caches the request's prompt prefix
    bool drained = false;    ///< the endpoint or its zone is taken out of service
};

/// A routing request whose endpoints are given as a list of candidates.
struct route_request {
    state::availability_zone_id local_zone;   ///< zone of the router
    std::vector<state::endpoint_id> excluded; ///< endpoints that failed this request
    route_priority priority = route_priority::normal;
};

/// Chooses among candidates. Returns the index of the chosen one, or fails with
/// `no_endpoint` when none can accept the request.
using choose_endpoint_hook = std::function<state::result<std::size_t>(
    const std::vector<route_candidate>& candidates, const route_request& request,
    state::time_point now, random_source& random)>;

/// Makes the same decision as `choose_slot` over a list of candidates, with
/// default weights. Building the list takes time linear in its length; use
/// `endpoint_directory` for many endpoints.
[[nodiscard]] state::result<std::size_t>
choose_endpoint(const std::vector<route_candidate>& candidates, const route_request& request,
                state::time_point now, random_source& random);

} // namespace savoryrelay::coordination
