// The lease holder's part of the cold allowance: it decides how many concurrent
// requests each router may have at each cold endpoint.
#pragma once

#include "savoryrelay/coordination/warmup/permit.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Grants the permits of one deployment while this member holds the deployment's
/// lease. Each new holder starts with an empty object. Thread-safe.
/// Invariant: at the time of a grant, the counted permits of an endpoint do not
/// exceed its allowance.
class permit_allocator {
public:
    /// `lease_acquired_at` is when this member took the lease, which is after
    /// its predecessor's last possible grant. The first holder of a deployment
    /// passes false for `has_predecessor`.
    permit_allocator(warmup_settings settings, warmup_hooks hooks,
                     state::time_point lease_acquired_at, bool has_predecessor = true);

    /// Grants between 0 and `wanted` permits. `lease_until` is the end of the
    /// lease by the holder's own clock; nothing is granted from then on.
    [[nodiscard]] permit_reply grant(const permit_request& request, state::time_point lease_until,
                                     state::time_point now);

    /// Applies a router's usage report of a grant.
    void settle(const permit_usage& usage, state::time_point now);

    /// Applies the endpoint's own report that it runs `running` requests. When
    /// the report says 0 after all permits of the predecessor have expired, the
    /// successor does not wait for the end of the longest request.
    void report_running(const state::endpoint_id& endpoint, std::uint32_t running,
                        state::time_point now);

    /// Resets the allowance of an endpoint that is cold again. Earlier grants
    /// count until they are settled or expire.
    void reset_allowance(const state::endpoint_id& endpoint);

    /// Returns the number of concurrent requests that the endpoint may have from
    /// all routers together.
    [[nodiscard]] std::uint32_t allowance(const state::endpoint_id& endpoint) const;
    /// Returns true when the allowance has reached the capacity.
    [[nodiscard]] bool is_warm(const state::endpoint_id& endpoint) const;

private:
    struct grant_row {
        permit_request request;
        std::uint32_t counted = 0;
        std::uint32_t completed = 0;
        std::uint32_t granted = 0;
        state::time_point until; ///< the grant counts until then unless it is settled
    };
    struct endpoint_row {
        double growth = 0; ///< allowance above `cold_allowance`
        bool predecessor_finished = false;
        std::vector<grant_row> grants;
    };

    [[nodiscard]] std::uint32_t allowance_of(const endpoint_row& row) const;

    warmup_settings m_settings;
    warmup_hooks m_hooks;
    state::time_point m_lease_acquired_at;
    bool m_has_predecessor;
    state::sharded_map<state::endpoint_id, endpoint_row> m_endpoints;
};

} // namespace savoryrelay::coordination
