// Decides which calls entry hosts refuse because they crash endpoints. Each host reports
// the crashes that it sees and passes on what it learns, so that all hosts refuse alike.
#pragma once

#include "savoryrelay/coordination/exchange/crash_notice_schedule.h"
#include "savoryrelay/coordination/retry/crash_suspects.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// Returns the fingerprints of a call: one of each part of its prompt that other calls may
/// share, in the order of the prompt, and last one of its customer, path and content.
[[nodiscard]] std::vector<request_fingerprint> fingerprints_of(const state::serving_call& call,
                                                               const std::string& customer,
                                                               std::string_view body);

/// Returns the fingerprint as 16 hexadecimal digits for logs.
[[nodiscard]] std::string to_text(request_fingerprint fingerprint);

/// Returns the settings of entry hosts. There one crash ends many calls, of which each host
/// sees its own, so that no host knows whether a suspect was the only one.
[[nodiscard]] crash_settings entry_host_crash_settings();

/// Returns the time by which a quarantine ends later on this host. It spreads the hosts over
/// some minutes, so that few calls run before all hosts know of a crash.
[[nodiscard]] state::milliseconds quarantine_end_delay(std::string_view host_name);

/// The crashes, answers and quarantined fingerprints that one entry host knows. Thread-safe.
class crash_watch {
public:
    /// Quarantined fingerprints are announced again after this time, for hosts that have
    /// started or were out of contact.
    static constexpr state::milliseconds refresh_interval{1'000};

    /// A peer's quarantine that ends within this time is not applied. The age in a notice
    /// lacks the time of its transfer, so that hosts would prolong it for each other.
    static constexpr state::milliseconds expiry_margin{30'000};

    crash_watch(crash_settings settings, crash_hooks hooks)
        : m_retention(settings.retention), m_suspects(settings, std::move(hooks)) {}

    /// Records that an endpoint crashed before it had answered a call with these fingerprints
    /// completely. They are in the order of `fingerprints_of`.
    void record_crash(const state::endpoint_id& endpoint, std::uint64_t started_ms,
                      const std::vector<request_fingerprint>& fingerprints, state::time_point now);
    /// Records that an endpoint answered a call with these fingerprints completely. A part of an
    /// answer shows nothing, because endpoints may crash while they write.
    void record_answer(const std::vector<request_fingerprint>& fingerprints, state::time_point now);
    /// Applies a notice of a peer, unless it is older than the retention of suspects. What
    /// is new to this host is passed on.
    void apply(const state::crash_notice& notice, state::time_point now);

    /// Accepts a call with these fingerprints at `now` or returns the time until calls with
    /// them are accepted again. After a quarantine, a host accepts one call at a time until
    /// one is answered.
    std::optional<state::milliseconds> accept(const std::vector<request_fingerprint>& fingerprints,
                                              state::time_point now);
    /// Returns whether a call with these fingerprints that was accepted before must no longer
    /// be sent. The call that `accept` has let pass after a quarantine may be sent.
    [[nodiscard]] bool is_quarantined(const std::vector<request_fingerprint>& fingerprints,
                                      state::time_point now) const;
    /// Returns the time until calls with these fingerprints are accepted again, or nothing
    /// if they are accepted at `now`.
    [[nodiscard]] std::optional<state::milliseconds>
    time_quarantined(const std::vector<request_fingerprint>& fingerprints,
                     state::time_point now) const;
    /// Returns the notices for the digests of this round, and removes what has expired.
    [[nodiscard]] std::vector<state::crash_notice> due_notices(state::time_point now);
    /// Returns the number of quarantined fingerprints.
    [[nodiscard]] std::size_t quarantined_count() const { return m_suspects.quarantined().size(); }

private:
    /// Tells the peers of the last answer to the fingerprint, if this host knows one.
    void announce_answer(request_fingerprint fingerprint, state::time_point now);
    /// Records the crash and passes on what is new.
    void record_evidence(std::uint64_t crash, std::vector<call_fingerprint> fingerprints,
                         state::time_point at, state::time_point now);

    const state::milliseconds m_retention;
    crash_suspects m_suspects;
    crash_notice_schedule m_notices;

    std::mutex m_mutex;                 // guards m_refreshed_at
    state::time_point m_refreshed_at{}; // when quarantined fingerprints were announced last
};

} // namespace savoryrelay::coordination
