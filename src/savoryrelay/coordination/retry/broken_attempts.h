// Keeps the requests whose attempts broke off recently, by endpoint. When the
// endpoint turns out to have crashed, these requests are suspected to be the
// cause.
#pragma once

#include "savoryrelay/coordination/retry/crash_suspects.h"

#include <optional>
#include <utility>

namespace savoryrelay::coordination {

/// Recently broken attempts of one member. Thread-safe.
class broken_attempts {
public:
    /// `retention` must cover the time from a broken attempt to the confirmation
    /// that the endpoint crashed.
    explicit broken_attempts(state::milliseconds retention) : m_retention(retention) {}

    /// Records that an attempt broke off after its request was sent.
    void add(const state::endpoint_id& endpoint, request_fingerprint fingerprint,
             state::time_point now);
    /// Returns the crash of an endpoint with the requests whose attempts recently
    /// broke off there, and removes these attempts. Returns nothing when there are
    /// none.
    [[nodiscard]] std::optional<endpoint_crash> take_crash(const state::endpoint_id& endpoint,
                                                           state::time_point now);

private:
    struct endpoint_row {
        std::uint64_t crashes = 0;
        std::vector<std::pair<request_fingerprint, state::time_point>> broken;
    };
    void remove_expired(endpoint_row& row, state::time_point now) const;

    state::milliseconds m_retention;
    state::sharded_map<state::endpoint_id, endpoint_row> m_endpoints;
};

} // namespace savoryrelay::coordination
