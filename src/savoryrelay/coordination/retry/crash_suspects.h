// Keeps the fingerprints of the requests that were running at an endpoint when it
// crashed, and quarantines those that crash endpoints.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/crash_notice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

using state::call_fingerprint;
using state::request_fingerprint;

/// Returns the fingerprint of a request's customer and body.
[[nodiscard]] request_fingerprint fingerprint_of(const state::customer_id& customer,
                                                 std::string_view body);

/// A crash of an endpoint as one member saw it.
struct endpoint_crash {
    state::endpoint_id endpoint;
    std::uint64_t generation = 0;               ///< differs for each crash of the endpoint
    std::vector<request_fingerprint> in_flight; ///< the reporting member's requests there
};

/// A fingerprint whose calls are refused.
struct quarantined_fingerprint {
    call_fingerprint fingerprint;
    state::time_point last_crash;
    std::size_t crashes = 0; ///< as this member or a peer counted them
};

/// The evidence against one fingerprint after a crash.
struct crash_evidence {
    /// Distinct crashes, including the current one, without those that a quarantined
    /// fingerprint explains better.
    std::size_t crashes = 0;
    std::size_t other_suspects = 0; ///< other requests of this crash that were suspects before it
    state::milliseconds span{0};    ///< from the first crash to the current one
    bool was_answered = false;      ///< answered within the retention, before the first crash
};

/// Settings of the quarantine. A fingerprint is quarantined after
/// `crashes_if_sole_suspect` crashes when it was the only suspect at the last one, and
/// after `max_crashes` in any case. One that was answered before needs
/// `max_crashes_after_answer`, because calls with other parts may have caused the crashes.
struct crash_settings {
    std::size_t crashes_if_sole_suspect = 2;  ///< if alone at the last crash
    std::size_t max_crashes = 3;              ///< for any fingerprint without an answer
    std::size_t max_crashes_after_answer = 3; ///< for a fingerprint that was answered before
    std::size_t max_suspects = 10'000;        ///< fingerprints kept, an estimated 150 bytes each
    /// How long a suspect is kept after its last crash, and an answer.
    state::milliseconds retention{15 * 60'000};
    /// Time after the end of a quarantine in which one more crash quarantines the fingerprint
    /// again.
    state::milliseconds probation{0};
    /// A quarantine ends later by this time. It differs between hosts, so that one of them
    /// runs a request with the fingerprint before the others do.
    state::milliseconds end_delay{0};
    /// During probation, a request with the fingerprint is accepted only this long after the
    /// last one.
    state::milliseconds trial_interval{0};
    /// The crashes of a quarantined fingerprint are spread over at least this time. A network
    /// fault that breaks many connections at once looks like many crashes.
    state::milliseconds min_span{0};
    /// A fingerprint that was answered within this time before a crash is no suspect.
    state::milliseconds answer_validity{0};
};

/// The rule, which tests replace, and a hook that learns of its decisions.
struct crash_hooks {
    std::function<bool(const crash_settings&, const crash_evidence&)> is_quarantined;
    /// Called without a lock when a fingerprint becomes quarantined; may be empty.
    std::function<void(request_fingerprint)> on_quarantined = nullptr;
};

/// Returns the rule that the design page describes: a fingerprint is quarantined by
/// either of the two crash counts of `crash_settings`, if the crashes span long enough.
[[nodiscard]] crash_hooks default_crash_hooks();

/// The suspects that one member knows, including those of crashes that its peers
/// reported. Thread-safe.
class crash_suspects {
public:
    crash_suspects(crash_settings settings, crash_hooks hooks);

    /// Records a crash that this member or a peer saw. A crash that is reported
    /// several times counts once for each fingerprint.
    void record_crash(const endpoint_crash& crash, state::time_point now);
    /// Records the crash with digest `crash` at `at`. Returns the fingerprints for which it
    /// is new evidence, later parts of prompts first.
    std::vector<call_fingerprint> record_crash(std::uint64_t crash,
                                               std::vector<call_fingerprint> fingerprints,
                                               state::time_point at);
    /// Records that an endpoint answered a request with the fingerprint completely at `at`, which
    /// shows that the fingerprint crashes no endpoint. Returns whether it was a suspect for
    /// which this is new.
    bool record_answer(request_fingerprint fingerprint, state::time_point at);
    /// Returns the time of the fingerprint's last answer if it shows that the fingerprint did
    /// not cause a crash at `crashed_at`.
    [[nodiscard]] std::optional<state::time_point> valid_answer(request_fingerprint fingerprint,
                                                                state::time_point crashed_at) const;
    /// Returns the time of the fingerprint's last answer within the retention.
    [[nodiscard]] std::optional<state::time_point>
    last_answer(request_fingerprint fingerprint) const;
    /// Quarantines a fingerprint because a peer does, which may not know of answers. Returns
    /// whether this is new.
    bool quarantine(const quarantined_fingerprint& reported);
    /// Returns the explained crashes, as this member found or a peer reported, if the
    /// reported quarantine is based on no other ones.
    [[nodiscard]] std::optional<quarantined_fingerprint>
    find_explanation(const quarantined_fingerprint& reported) const;
    /// Ends a quarantine that is based on what peers reported, because a peer finds that
    /// others explain its crashes. Returns whether this is new.
    bool record_explanation(const quarantined_fingerprint& explained);

    /// Returns when the next request with the fingerprint may run because it is on probation
    /// and another one has begun, or nothing if it may run now, in which case this call
    /// counts as its begin.
    std::optional<state::time_point> begin_trial(request_fingerprint fingerprint,
                                                 state::time_point now);
    /// Returns whether the fingerprint is quarantined at `now`. A trial after the quarantine does
    /// not count.
    [[nodiscard]] bool is_quarantined(request_fingerprint fingerprint, state::time_point now) const;

    /// Returns when the quarantine of the fingerprint, or the trial that has begun, ends, or
    /// nothing when there is none.
    [[nodiscard]] std::optional<state::time_point>
    quarantined_until(request_fingerprint fingerprint) const;
    /// Returns the quarantined fingerprints.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantined() const;

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

    /// Ends quarantines, and removes suspects and answers, that are older than the retention;
    /// suspects on probation are kept until it ends. Beyond `max_suspects`
    /// answers, removes those that are no longer valid.
    void sweep(state::time_point now);
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect_row {
        std::vector<std::uint64_t> crashes; ///< digests of the crashes, at most max_known_crashes
        std::size_t reported_crashes = 0;   ///< the most that a peer counted
        std::size_t explained_crashes = 0;  ///< as a peer counted them, up to `explained_until`
        std::uint8_t position = 0;          ///< of the part, as in `call_fingerprint`
        bool is_quarantined = false;
        bool is_on_probation = false;  ///< its last quarantine has ended
        state::time_point trial_until; ///< when the next request may run during probation
        state::time_point first_crash;
        state::time_point last_crash;
        state::time_point explained_until;
    };

    struct answer_row {
        state::time_point last; ///< time of the last answer
        bool is_repeated = false;
    };

    /// Returns the number of crashes of `suspect` at which no quarantined fingerprint that is
    /// a better explanation was running: one with more crashes; if `suspect` was answered, one
    /// without an answer that was running at all of its crashes; or a single later part of
    /// prompts. That must be a single one, because other parts follow a part that crashes
    /// endpoints, and each of them may be quarantined too.
    [[nodiscard]] std::size_t unexplained_crashes(request_fingerprint fingerprint,
                                                  const suspect_row& suspect) const;
    /// Returns what this member itself knows of the suspect's crashes.
    [[nodiscard]] crash_evidence evidence_of(request_fingerprint fingerprint,
                                             const suspect_row& suspect) const;
    /// Sets the quarantine of a known suspect and calls the hook if it is new.
    bool set_quarantined(request_fingerprint fingerprint);
    /// Ends the quarantine of the fingerprints whose crashes are all explained by others.
    void release_explained();

    crash_settings m_settings;
    crash_hooks m_hooks;
    state::sharded_map<request_fingerprint, suspect_row> m_suspects;
    state::sharded_map<request_fingerprint, answer_row> m_answered;
    state::sharded_map<state::endpoint_id, request_fingerprint> m_reserved;
};

} // namespace savoryrelay::coordination
