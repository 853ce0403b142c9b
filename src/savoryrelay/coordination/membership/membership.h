// Membership between entry hosts by probing, after SWIM: direct and indirect
// probes, suspicion, incarnation numbers and updates that travel with the
// probes. It decides only; the caller sends what it returns.
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

/// Settings of the membership, see `check_settings` for their ranges.
struct membership_settings {
    state::milliseconds probe_period{1'000};
    /// Time after which a probe is repeated through other members.
    state::milliseconds probe_timeout{300};
    /// Time a suspected member has to refute the suspicion.
    state::milliseconds suspicion_time{2'000};
    /// Time after which a dead member that the platform does not list is forgotten.
    state::milliseconds dead_retention{60'000};
    std::uint32_t indirect_probes = 3;
    /// Up to so many members, itself included, each is probed every period.
    std::uint32_t full_probe_members = 16;
    /// Members probed each period above that. With one, evidence of answers
    /// does not reach half of 320 members within the 4 s of the isolation rule.
    std::uint32_t sparse_probes = 3;
    /// An update is sent `retransmit_factor * ceil(log2(members + 1))` times.
    std::uint32_t retransmit_factor = 3;
    /// Members that are told at once when a newer revision is learned.
    std::uint32_t revision_fanout = 3;
};

/// Fails with `invalid_settings`, naming the field, when the membership could
/// not work with `settings`.
[[nodiscard]] state::result<void> check_settings(const membership_settings& settings);

/// A message to be sent.
struct outgoing_message {
    state::member_address to;
    state::peer_message message;
};

/// Variable parts of the membership. Tests replace them by naive ones.
struct membership_hooks {
    /// Whether an update replaces what is known of a member.
    std::function<bool(const state::member_update&, std::uint64_t incarnation, state::member_state)>
        overrides = state::overrides;
    /// Runs when another member reports newer revisions or topics, before the
    /// report counts as an answer of that member.
    std::function<void(const state::revision_view&, state::time_point now)> on_revisions;
    std::function<void(const state::topic_update&)> on_topic;
};

/// What is known of a member, as other threads read it.
struct member_record {
    state::member_update update;
    std::uint32_t hash = 0;
    state::time_point changed_at;              ///< when `update.state` was last set
    std::optional<state::time_point> heard_at; ///< last proof of an answered probe
    state::revision_view revisions;            ///< from its own messages
};

/// The membership of one process. Decisions are serialised by one lock, which
/// no hook runs under; the members themselves are in a sharded map, so that
/// other threads read them without waiting for a decision.
class membership {
public:
    /// `self.incarnation` should exceed that of an earlier process at the same
    /// address, for example civil milliseconds; a lower one is corrected on
    /// the first contact.
    membership(state::member_update self, std::vector<state::member_address> seeds,
               membership_settings settings, membership_hooks hooks);

    /// Sends due probes and ends due suspicions. Call it about every 50 ms. A
    /// gap of two periods means that the process was paused: probes from
    /// before the gap are dropped, since their answers prove nothing now.
    [[nodiscard]] std::vector<outgoing_message> tick(state::time_point now,
                                                     std::mt19937_64& random);

    /// Applies a verified message and returns the answers.
    [[nodiscard]] std::vector<outgoing_message>
    receive(const state::peer_message& message, state::time_point now, std::mt19937_64& random);

    /// Merges the members of a state exchange.
    void merge(const std::vector<state::member_update>& members, state::time_point now);

    /// Announces a graceful leave. Afterwards neither `tick` nor `receive`
    /// sends anything.
    [[nodiscard]] std::vector<outgoing_message> leave(state::time_point now,
                                                      std::mt19937_64& random);

    /// Publishes the revisions of this member; higher values than before are
    /// sent to `revision_fanout` members at once.
    [[nodiscard]] std::vector<outgoing_message>
    publish_revisions(const state::revision_view& revisions, state::time_point now,
                      std::mt19937_64& random);

    /// Sends the revisions to every member that is alive, before a submission.
    [[nodiscard]] std::vector<outgoing_message> probe_all(state::time_point now,
                                                          std::mt19937_64& random);

    /// Tells the others that this member knows the revisions that matter, see
    /// `peer_message::informed`.
    void set_informed();

    /// Queues an update of another subsystem. False when its key or value is too long.
    bool publish_topic(const state::topic_update& update);

    /// The entry hosts on the platform's list. Members and hosts have the same
    /// identifiers. A listed host counts for majorities whether it is known or
    /// not; an unlisted member is probed but does not count.
    void set_listed(std::set<state::member_id> listed);

    [[nodiscard]] std::vector<state::member_update> members() const;
    [[nodiscard]] std::optional<member_record> find(const state::member_id& id) const;
    [[nodiscard]] state::member_update self() const;
    [[nodiscard]] std::size_t listed_count() const;

    /// The time at which this member last had proof of `count` listed entry
    /// hosts, itself included; nothing when it never had.
    [[nodiscard]] std::optional<state::time_point> heard_since(std::size_t count,
                                                               state::time_point now) const;

    /// Listed members, itself included, whose messages repeated `announcement`
    /// or a higher one.
    [[nodiscard]] std::size_t count_informed_of(std::uint64_t announcement) const;

    /// The revisions that this member knows of.
    [[nodiscard]] state::revision_view revisions() const;

private:
    struct probe {
        state::member_id target;
        state::time_point sent_at;
        bool indirect_sent = false;
        bool answered = false;
        state::member_id requester;           // set for a probe on behalf of another
        std::uint32_t requester_sequence = 0; // number in the requester's ping_request
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
    bool note_revisions(const state::revision_view& revisions);
    bool accept_topic(const state::topic_update& update);
    void tell_fanout(state::time_point now, std::mt19937_64& random, output& out);
    bool note_sender(const state::peer_message& message, state::time_point now);
    void note_evidence(const state::peer_message& ack, state::time_point sent_at);
    void note_answer(const state::member_id& id, state::time_point sent_at);
    void answer(const state::peer_message& message, const state::member_update& sender, bool is_new,
                state::time_point now, std::mt19937_64& random, output& out);
    void receive_ack(const state::peer_message& message, output& out);
    void end_probes(state::time_point now, std::mt19937_64& random, output& out);
    void end_suspicions(state::time_point now);
    void send_due_probes(state::time_point now, std::mt19937_64& random, output& out);
    void send_to_lost(state::time_point now, std::mt19937_64& random, output& out);
    void send_ping(const state::member_update& target, state::time_point now, output& out,
                   const state::member_id& requester = {}, std::uint32_t requester_sequence = 0);
    state::peer_message make_message(state::peer_message_kind kind, const state::member_id& to);
    void add_updates(state::peer_message& message, const state::member_id& to);
    void add_evidence(state::peer_message& message, state::time_point now) const;
    void add_members(state::peer_message& message, std::mt19937_64& random) const;
    std::vector<state::member_update> choose(std::size_t count, const state::member_id& except,
                                             std::mt19937_64& random) const;
    std::vector<state::member_update>
    select(const std::function<bool(const member_record&)>& wanted) const;
    [[nodiscard]] std::uint32_t retransmit_limit() const;

    const membership_settings m_settings;
    const membership_hooks m_hooks;
    const std::vector<state::member_address> m_seeds;
    state::sharded_map<state::member_id, member_record> m_members; // without this member

    mutable std::mutex m_mutex; // guards what follows
    state::member_update m_self;
    bool m_left = false;
    bool m_informed = false;
    state::revision_view m_revisions;
    std::set<state::member_id> m_listed;
    std::map<std::uint32_t, state::member_id> m_by_hash;
    std::map<std::uint32_t, probe> m_probes; // by sequence number
    std::uint32_t m_next_sequence = 1;
    std::map<state::member_id, queued_member> m_queue;
    std::map<std::pair<state::update_topic, std::string>, queued_topic> m_topics;
    std::vector<state::member_id> m_probe_order; // rest of the present round
    std::optional<state::time_point> m_last_tick;
    std::optional<state::time_point> m_next_probe;
    std::optional<state::time_point> m_next_lost;
};

} // namespace savoryrelay::coordination
