// Keeps the fingerprints of the requests that were running at an endpoint when it
// crashed, and quarantines a request that crashes endpoints.
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

/// Digest of customer and request body. It is the same on each host.
using request_fingerprint = std::uint64_t;

/// Returns the fingerprint of a request.
[[nodiscard]] request_fingerprint fingerprint_of(const state::customer_id& customer,
                                                 std::string_view body);

/// A crash of an endpoint as one member saw it.
struct endpoint_crash {
    state::endpoint_id endpoint;
    std::uint64_t generation = 0;               ///< differs for each crash of the endpoint
    std::vector<request_fingerprint> in_flight; ///< the reporting member's requests there
};

/// The evidence against one fingerprint after a crash.
struct crash_evidence {
    std::size_t crashes = 0;        ///< distinct crashes, including the current one
    std::size_t other_suspects = 0; ///< other requests of this crash that were suspects before it
};

/// Settings of the quarantine of requests. A request is quarantined after
/// `crashes_if_sole_suspect` crashes when it was the only suspect at the last one,
/// and after `max_crashes` in any case.
struct crash_settings {
    std::size_t crashes_if_sole_suspect = 2;    ///< if alone at the last crash
    std::size_t max_crashes = 3;                ///< for any request
    std::size_t max_suspects = 10'000;          ///< fingerprints kept, an estimated 150 bytes each
    state::milliseconds retention{15 * 60'000}; ///< how long a suspect is kept after its last crash
};

/// Hooks for the parts of the rule that tests replace.
struct crash_hooks {
    std::function<bool(const crash_settings&, const crash_evidence&)> is_quarantined;
};

/// Returns the rule that the design page describes: a request is quarantined by
/// either of the two crash counts of `crash_settings`.
[[nodiscard]] crash_hooks default_crash_hooks();

/// The suspects that one member knows, including those of crashes that its peers
/// reported. Thread-safe.
class crash_suspects {
public:
    crash_suspects(crash_settings settings, crash_hooks hooks);

    /// Records a crash that this member or a peer saw. A crash that is reported
    /// several times counts once for each fingerprint.
    void record_crash(const endpoint_crash& crash, state::time_point now);

    /// Fails with `request_quarantined` when the fingerprint is quarantined.
    [[nodiscard]] state::result<void> check(request_fingerprint fingerprint) const;
    /// Returns true when a request with the fingerprint was running at an endpoint
    /// that crashed. An endpoint must not run two suspects at the same time.
    [[nodiscard]] bool is_suspect(request_fingerprint fingerprint) const;

    /// Reserves the endpoint for a suspect. Returns false while another suspect
    /// holds the reservation.
    [[nodiscard]] bool reserve(const state::endpoint_id& endpoint, request_fingerprint suspect);
    /// Ends the reservation when `suspect` holds it.
    void release(const state::endpoint_id& endpoint, request_fingerprint suspect);

    /// Removes suspects whose last crash is longer ago than the retention.
    void sweep(state::time_point now);
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect_row {
        std::vector<std::uint64_t> crashes; ///< digests of the crashes, at most max_crashes
        bool is_quarantined = false;
        state::time_point last_crash;
    };

    crash_settings m_settings;
    crash_hooks m_hooks;
    state::sharded_map<request_fingerprint, suspect_row> m_suspects;
    state::sharded_map<state::endpoint_id, request_fingerprint> m_reserved;
};

} // namespace savoryrelay::coordination
