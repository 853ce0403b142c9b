// Membership of entry hosts. It implements the SWIM protocol: direct and indirect probes,
// suspicion, incarnation numbers, and updates that are piggybacked on the probes. This class does
// no I/O; the caller sends the messages that it returns.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/member/member.h"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// Settings of the membership. `check_settings` defines their ranges.
struct membership_settings {
    state::milliseconds probe_period{1'000};
    /// Time without an answer to a probe after which indirect probes are requested.
    state::milliseconds probe_timeout{300};
    /// Time that a suspected member has to refute the suspicion.
    state::milliseconds suspicion_time{2'000};
    /// Time after which a member that is dead or has left is removed, unless the platform lists it.
    state::milliseconds dead_retention{60'000};
    /// Number of members that are asked for an indirect probe of a member that has not answered.
    std::uint32_t indirect_probes = 3;
    /// With up to this many members, itself included, a member probes every other member in each
    /// period.
    std::uint32_t full_probe_members = 16;
    /// Number of members probed in each period when there are more than `full_probe_members`. With
    /// one probe per period, a member does not learn within the isolation limit of 4 s that half of
    /// 320 members answered a probe.
    std::uint32_t sparse_probes = 3;
    /// An update is sent `retransmit_factor * ceil(log2(members + 1))` times.
    std::uint32_t retransmit_factor = 3;
    /// Number of members that immediately receive a newer revision.
    std::uint32_t revision_fanout = 3;
};

/// Checks the ranges of `settings`. Fails with `invalid_settings` and the name of the field.
[[nodiscard]] state::result<void> check_settings(const membership_settings& settings);

/// A message for the caller to send.
struct outgoing_message {
    state::member_address to;
    state::peer_message message;
};

/// Functions that the membership calls. Tests replace them with faulty ones.
struct membership_hooks {
    /// Returns whether an update replaces the recorded incarnation and state of a member.
    std::function<bool(const state::member_update&, std::uint64_t incarnation, state::member_state)>
        overrides = state::overrides;
    /// Called when another member reports newer revisions, before its message counts as an answer.
    std::function<void(const state::revision_view&, state::time_point now)> on_revisions;
    /// Called for each newer topic update, before the message counts as an answer.
    std::function<void(const state::topic_update&)> on_topic;
};

/// What this process knows about another member. Any thread may read it.
struct member_record {
    state::member_update update;
    std::uint32_t hash = 0;
    state::time_point changed_at;                     ///< when `update` was last set
    std::optional<state::time_point> last_contact_at; ///< send time of the last answered probe
    state::revision_view revisions;                   ///< as reported by the member itself
};

/// The membership of one process. One lock serialises decisions; only the `overrides` hook runs
/// under it. The records of members are in a sharded map, so that other threads read them without
/// waiting for a decision.
class membership {
public:
    /// `self.incarnation` should be higher than that of an earlier process at the same address; the
    /// wall-clock time in milliseconds is suitable. A lower one is corrected on the first contact.
    membership(state::member_update self, std::vector<state::member_address> seeds,
               membership_settings settings, membership_hooks hooks);

    /// Returns the due probes and declares overdue suspects dead. Call it about every 50 ms. A gap
    /// of more than two probe periods means that the process was paused: probes from before the
    /// gap are dropped, because their answers do not prove recent contact.
    [[nodiscard]] std::vector<outgoing_message> tick(state::time_point now,
                                                     std::mt19937_64& random);

    /// Applies a message whose signature has been verified. Returns the answers to send.
    [[nodiscard]] std::vector<outgoing_message>
    receive(const state::peer_message& message, state::time_point now, std::mt19937_64& random);

    /// Merges the members that a peer sent in a state exchange.
    void merge(const std::vector<state::member_update>& members, state::time_point now);

    /// Announces that this member leaves. Afterwards neither `tick` nor `receive` returns messages.
    [[nodiscard]] std::vector<outgoing_message> leave(state::time_point now,
                                                      std::mt19937_64& random);

    /// Publishes the revisions of this member. Higher values than before are sent to
    /// `revision_fanout` members immediately.
    [[nodiscard]] std::vector<outgoing_message>
    publish_revisions(const state::revision_view& revisions, state::time_point now,
                      std::mt19937_64& random);

    /// Pings every alive or suspect member with the current revisions. Called before a
    /// configuration is submitted.
    [[nodiscard]] std::vector<outgoing_message> probe_all(state::time_point now,
                                                          std::mt19937_64& random);

    /// Marks this member as caught up with the configuration revisions, so that its answers count
    /// for majorities. See `peer_message::caught_up`.
    void set_caught_up();

    /// Queues an update from another subsystem. Returns false when its key or value is too long or
    /// its version is not newer than the known one.
    bool publish_topic(const state::topic_update& update);

    /// Sets the entry hosts on the platform's list. Members and hosts have the same identifiers. A
    /// listed host counts towards the size of a majority even if it is not a known member; an
    /// unlisted member is probed but does not count.
    void set_listed(std::set<state::member_id> listed);

    [[nodiscard]] std::vector<state::member_update> members() const;
    [[nodiscard]] std::optional<member_record> find(const state::member_id& id) const;
    [[nodiscard]] state::member_update self() const;
    [[nodiscard]] std::size_t listed_count() const;

    /// Returns the latest time `t` for which at least `count` listed entry hosts, this member
    /// included, are known to have answered a probe that was sent at `t` or later. Returns nothing
    /// when fewer than `count` are known to have answered.
    [[nodiscard]] std::optional<state::time_point> last_contact_with(std::size_t count,
                                                                     state::time_point now) const;

    /// Returns the number of listed members, this one included, that acknowledged `announcement`. A
    /// member acknowledges an announcement by publishing it or a higher one as its own
    /// `revision_view::announced`.
    [[nodiscard]] std::size_t count_acknowledgements(std::uint64_t announcement) const;

    /// Returns the revisions that this member knows of.
    [[nodiscard]] state::revision_view revisions() const;

private:
    struct probe {
        state::member_id target;
        state::time_point sent_at;
        bool indirect_sent = false;
        bool answered = false;
        state::member_id requester;           // set when another member requested this probe
        std::uint32_t requester_sequence = 0; // sequence number of its ping_request
    };
    struct queued_member {
        state::member_update update;
        std::uint32_t sent = 0;
    };
    struct queued_topic {
        state::topic_update update;
        std::uint32_t sent = 0;
    };
    using output = std::vector<outgoing_message>;

    bool apply(const state::member_update& update, state::time_point now);
    void refute(const state::member_update& update);
    void enqueue(const state::member_update& update);
    bool merge_revisions(const state::revision_view& revisions);
    bool accept_topic(const state::topic_update& update);
    void push_revisions(state::time_point now, std::mt19937_64& random, output& out);
    bool update_sender(const state::peer_message& message, state::time_point now);
    void record_evidence(const state::peer_message& ack, state::time_point sent_at);
    void record_answer(const state::member_id& id, state::time_point sent_at);
    void answer(const state::peer_message& message, const state::member_update& sender, bool is_new,
                state::time_point now, std::mt19937_64& random, output& out);
    void handle_ack(const state::peer_message& message, output& out);
    void expire_probes(state::time_point now, std::mt19937_64& random, output& out);
    void expire_suspicions(state::time_point now);
    void send_due_probes(state::time_point now, std::mt19937_64& random, output& out);
    void probe_lost_members(state::time_point now, std::mt19937_64& random, output& out);
    void send_ping(const state::member_update& target, state::time_point now, output& out,
                   const state::member_id& requester = {}, std::uint32_t requester_sequence = 0);
    state::peer_message make_message(state::peer_message_kind kind, const state::member_id& to);
    void add_updates(state::peer_message& message, const state::member_id& to);
    void add_evidence(state::peer_message& message, state::time_point now) const;
    void add_members(state::peer_message& message, std::mt19937_64& random) const;
    std::vector<state::member_update>
    choose_random(std::size_t count, const state::member_id& except, std::mt19937_64& random) const;
    std::vector<state::member_update>
    select(const std::function<bool(const member_record&)>& matches) const;
    [[nodiscard]] std::uint32_t retransmit_limit() const;

    const membership_settings m_settings;
    const membership_hooks m_hooks;
    const std::vector<state::member_address> m_seeds;
    state::sharded_map<state::member_id, member_record> m_members; // all members except this one

    mutable std::mutex m_mutex; // guards the fields below
    state::member_update m_self;
    bool m_left = false;
    bool m_caught_up = false;
    state::revision_view m_revisions;
    std::set<state::member_id> m_listed;
    std::map<std::uint32_t, state::member_id> m_ids_by_hash;
    std::map<std::uint32_t, probe> m_probes; // by sequence number
    std::uint32_t m_next_sequence = 1;
    std::map<state::member_id, queued_member> m_queued_members;
    std::map<std::pair<state::update_topic, std::string>, queued_topic> m_queued_topics;
    std::vector<state::member_id> m_probe_order; // members not yet probed in this round
    std::optional<state::time_point> m_last_tick;
    std::optional<state::time_point> m_next_probe;
    std::optional<state::time_point> m_next_lost_probe;
};

} // namespace savoryrelay::coordination
