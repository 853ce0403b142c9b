// The lease holder's side of the cold allowance: who may have how many
// concurrent requests at each cold endpoint.
#pragma once

#include "savoryrelay/coordination/warmup/permit.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Grants permits of one deployment while its lease is held. A new holder makes
/// a new ledger. Thread-safe.
/// Invariant: the counted permits of an endpoint never exceed its allowance at
/// the time of a grant.
class allowance_ledger {
public:
    /// `taken_over` is when this member took the lease, which is after its
    /// predecessor's last possible grant. A deployment's first holder, which has
    /// no predecessor, passes `has_predecessor` false.
    allowance_ledger(warmup_settings settings, warmup_hooks hooks, state::time_point taken_over,
                     bool has_predecessor = true);

    /// Grants up to `wanted` permits, or 0. `lease_until` is when the holder's
    /// lease ends by its own clock; nothing is granted from then on.
    [[nodiscard]] permit_reply grant(const permit_request& request, state::time_point lease_until,
                                     state::time_point now);

    /// Takes over a router's account of a grant.
    void settle(const permit_account& account, state::time_point now);

    /// Takes over the endpoint's own report that it runs `running` requests. A
    /// successor that reads 0 after all permits of its predecessor have ended
    /// need not wait for the longest request.
    void note_running(const state::endpoint_id& endpoint, std::uint32_t running,
                      state::time_point now);

    /// The endpoint is cold again: its allowance falls to the cold one. Grants
    /// made before keep counting until they are settled or have passed.
    void restart(const state::endpoint_id& endpoint);

    /// Concurrent requests that the endpoint may have, over all routers.
    [[nodiscard]] std::uint32_t allowance(const state::endpoint_id& endpoint) const;
    /// True when the allowance has reached the capacity.
    [[nodiscard]] bool is_warm(const state::endpoint_id& endpoint) const;

private:
    struct grant_row {
        permit_request request;
        std::uint32_t counted = 0;
        std::uint32_t completed = 0;
        std::uint32_t granted = 0;
        state::time_point until; ///< counts until then unless settled
    };
    struct endpoint_row {
        double gained = 0; ///< allowance above the cold one
        bool predecessor_is_over = false;
        std::vector<grant_row> grants;
    };

    [[nodiscard]] std::uint32_t allowance_of(const endpoint_row& row) const;

    warmup_settings m_settings;
    warmup_hooks m_hooks;
    state::time_point m_taken_over;
    bool m_has_predecessor;
    state::sharded_map<state::endpoint_id, endpoint_row> m_endpoints;
};

} // namespace savoryrelay::coordination
