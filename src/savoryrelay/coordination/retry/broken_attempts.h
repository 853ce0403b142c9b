// Requests whose attempts broke off lately, by endpoint. When the endpoint turns
// out to have died, these requests were at its death.
#pragma once

#include "savoryrelay/coordination/retry/crash_suspects.h"

#include <optional>
#include <utility>

namespace savoryrelay::coordination {

/// Broken attempts of one member. Thread-safe.
class broken_attempts {
public:
    /// `retention` covers the time from a break to the confirmation of the death.
    explicit broken_attempts(state::milliseconds retention) : m_retention(retention) {}

    /// Notes that an attempt broke after its request was sent.
    void note(const state::endpoint_id& endpoint, request_fingerprint fingerprint,
              state::time_point now);
    /// The death of an endpoint with the requests that broke there lately, or
    /// nothing when there are none. They are forgotten.
    [[nodiscard]] std::optional<endpoint_death> take_death(const state::endpoint_id& endpoint,
                                                           state::time_point now);

private:
    struct endpoint_row {
        std::uint64_t deaths = 0;
        std::vector<std::pair<request_fingerprint, state::time_point>> broken;
    };
    void forget_old(endpoint_row& row, state::time_point now) const;

    state::milliseconds m_retention;
    state::sharded_map<state::endpoint_id, endpoint_row> m_endpoints;
};

} // namespace savoryrelay::coordination
