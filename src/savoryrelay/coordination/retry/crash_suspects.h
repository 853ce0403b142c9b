// Requests that were at endpoints when these died, by fingerprint, and the rule
// that quarantines a request that crashes endpoints.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace savoryrelay::coordination {

/// Digest of customer and body, the same on each host.
using request_fingerprint = std::uint64_t;

/// The fingerprint of a request.
[[nodiscard]] request_fingerprint fingerprint_of(const state::customer_id& customer,
                                                 std::string_view body);

/// One death of one endpoint, as one member saw it. Members pass it on.
struct endpoint_death {
    state::endpoint_id endpoint;
    std::uint64_t generation = 0; ///< of the process that died; with `endpoint` unique
    std::vector<request_fingerprint> in_flight; ///< of the member that saw the death
};

/// What is known of one fingerprint when it was at a death.
struct suspicion {
    std::size_t deaths = 0;         ///< different deaths, the present one included
    std::size_t other_suspects = 0; ///< at the present one
};

/// Settings of the quarantine.
struct crash_settings {
    std::size_t deaths_alone = 2;               ///< with no other suspect at the last one
    std::size_t deaths_limit = 3;               ///< in all
    std::size_t suspect_limit = 10'000;         ///< fingerprints kept, an estimated 150 bytes each
    state::milliseconds retention{15 * 60'000}; ///< since the last death
};

/// Parts of the rule that tests replace.
struct crash_hooks {
    std::function<bool(const crash_settings&, const suspicion&)> is_quarantined;
};

/// The rule of the design page.
[[nodiscard]] crash_hooks default_crash_hooks();

/// Suspects of one member, with the deaths that its peers reported. Thread-safe.
class crash_suspects {
public:
    crash_suspects(crash_settings settings, crash_hooks hooks);

    /// Takes over a death, seen here or by a peer. The same death counts once
    /// for each fingerprint, however often it is reported.
    void note_death(const endpoint_death& death, state::time_point now);

    /// Fails with `request_quarantined` when the fingerprint is refused.
    [[nodiscard]] state::result<void> check(request_fingerprint fingerprint) const;
    /// True when the fingerprint was at a death and must run apart from others.
    [[nodiscard]] bool is_suspect(request_fingerprint fingerprint) const;

    /// Reserves the endpoint for a suspect. Returns false while another is there.
    [[nodiscard]] bool reserve(const state::endpoint_id& endpoint, request_fingerprint suspect);
    /// Ends the reservation when `suspect` holds it.
    void release(const state::endpoint_id& endpoint, request_fingerprint suspect);

    /// Forgets suspects whose last death is longer ago than the retention.
    void sweep(state::time_point now);
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect_row {
        std::vector<std::uint64_t> deaths; ///< digests of the deaths, at most deaths_limit
        bool is_quarantined = false;
        state::time_point last_death;
    };

    crash_settings m_settings;
    crash_hooks m_hooks;
    state::sharded_map<request_fingerprint, suspect_row> m_suspects;
    state::sharded_map<state::endpoint_id, request_fingerprint> m_reserved;
};

} // namespace savoryrelay::coordination
