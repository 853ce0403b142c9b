// Decides whether the platform's store was away from all hosts or only one host was away from
// the store. After an outage of the store, entries that lapsed in it may return.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <mutex>
#include <optional>

namespace savoryrelay::coordination {

/// How a host learned that the store has answered a call or leaves calls without an answer.
enum class contact_source {
    own,   ///< a call of this host
    hub,   ///< a hub stated it of its own calls
    relay, ///< a hub passed it on to this member, which never passes it on again
};

/// Knows when the store last answered any host, and since when hosts doubt that it does.
///
/// The store was away if it answered nobody for `min_outage` while a host had no answers to its
/// calls. A host that misses answers only raises the doubt: each answer to any host ends it,
/// and hubs that hear of the doubt ask the store before it has lasted long enough. So a host that
/// was cut off by itself delays no removal on any host.
///
/// Thread-safe.
class store_outage_detector {
public:
    /// Entries do not lapse during an outage shorter than a second. The measured time is shorter
    /// by the time in which hosts notice the outage and its end.
    static constexpr state::milliseconds min_outage{800};
    /// Entries that lapsed during an outage return within about two seconds of its end, as the
    /// platform specifies.
    static constexpr state::milliseconds return_grace{2'200};
    /// A loss is stated in each round of the exchange for as long as it lasts. A host that has
    /// heard of none for this long knows nothing of the time in between.
    static constexpr state::milliseconds loss_duration{500};
    /// While in doubt, a hub asks the store when it knows of no answer for this long. Leaves
    /// time within `min_outage` for the answer to reach the members of a hub, also when one of
    /// the hub's digests gets lost.
    static constexpr state::milliseconds max_unanswered{200};

    /// Records that the store has answered a host at `at`. Returns the duration of the outage
    /// that this answer ends, if there was one.
    std::optional<state::milliseconds> note_answer(state::time_point at, contact_source source);
    /// Records that the store leaves the calls of a host without an answer at `now`.
    void note_loss(state::time_point now, contact_source source);
    /// Records what a digest states of the store's answers, if its loads count here: a host that
    /// takes itself for a hub may state losses of which the store readers do not hear. Members'
    /// digests state nothing for the same reason. Returns the same as `note_answer`.
    std::optional<state::milliseconds> apply(const state::peer_digest& digest,
                                             state::time_point now);
    /// Fills in what this host knows of the store's answers. `digest` already states whether
    /// this host has lost the store. The members of a hub without other hubs learn of no doubt:
    /// it may be cut off itself.
    void describe(state::peer_digest& digest, state::time_point now) const;
    /// Records that the store has returned from an older copy, which may lack entries.
    void note_restore(state::time_point now);

    /// Returns the time left in which missing entries may return.
    [[nodiscard]] state::milliseconds grace_left(state::time_point now) const;
    /// Returns whether a hub should ask the store now.
    [[nodiscard]] bool needs_check(state::time_point now) const;

private:
    void note_hub(state::time_point now);
    /// Returns whether losses were stated without a gap until `at`.
    [[nodiscard]] bool is_doubt_alive(state::time_point at) const;

    mutable std::mutex m_mutex;                       // guards the members below
    std::optional<state::time_point> m_own_answer_at; // newest answer to this host
    std::optional<state::time_point> m_hub_answer_at; // newest answer that a hub stated
    std::optional<state::time_point> m_answered_at;   // newest answer from any source
    std::optional<state::time_point> m_hub_heard_at;
    std::optional<state::time_point> m_hub_loss_at;
    /// Begin of the losses that no known answer has followed. Invariant: not before
    /// `m_answered_at`.
    std::optional<state::time_point> m_doubt_since;
    state::time_point m_loss_at{}; // last loss from any source
    state::time_point m_grace_end{};
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::contact_source> {
    using s = savoryrelay::coordination::contact_source;
    static constexpr std::array rows{
        enum_name<s>{s::own, "own"},
        enum_name<s>{s::hub, "hub"},
        enum_name<s>{s::relay, "relay"},
    };
};
