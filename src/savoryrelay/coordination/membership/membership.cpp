// Implements failure detection by probes and the dissemination of updates.
#include "savoryrelay/coordination/membership/membership.h"

#include <algorithm>
#include <bit>

namespace savoryrelay::coordination {

using state::member_id;
using state::member_state;
using state::member_update;
using state::peer_message;
using state::peer_message_kind;
using state::time_point;

namespace {

/// Maximum number of topic updates that are kept, to send them and to compare versions. When it is
/// reached, the update that was sent most often is dropped.
constexpr std::size_t max_topics = 4'096;
/// Maximum number of probes that one tick sends, so that a late tick does not send all the probes
/// that it missed.
constexpr int max_probes_per_tick = 32;
/// A gap between two ticks that is longer than this many probe periods counts as a pause.
constexpr int pause_periods = 2;

bool is_reachable(const member_record& record) {
    return record.update.state == member_state::alive ||
           record.update.state == member_state::suspect;
}

} // namespace

state::result<void> check_settings(const membership_settings& settings) {
    using namespace std::chrono_literals;
    const auto outside = [](const char* field) {
        return state::fail(state::failure_kind::invalid_settings,
                           std::string(field) + " is outside its range");
    };
    if (settings.probe_period < 200ms || settings.probe_period > 5'000ms) {
        return outside("probe_period");
    }
    if (settings.probe_timeout <= 0ms || settings.probe_timeout >= settings.probe_period) {
        return outside("probe_timeout");
    }
    if (settings.suspicion_time < settings.probe_period ||
        settings.suspicion_time > settings.probe_period * 10) {
        return outside("suspicion_time");
    }
    if (settings.dead_retention < 10'000ms || settings.dead_retention > 3'600'000ms) {
        return outside("dead_retention");
    }
    if (settings.indirect_probes > 8) {
        return outside("indirect_probes");
    }
    if (settings.full_probe_members < 1 || settings.full_probe_members > 16) {
        return outside("full_probe_members");
    }
    if (settings.sparse_probes < 2 || settings.sparse_probes > 4) {
        return outside("sparse_probes");
    }
    if (settings.retransmit_factor < 1 || settings.retransmit_factor > 8) {
        return outside("retransmit_factor");
    }
    if (settings.revision_fanout < 1 || settings.revision_fanout > 16) {
        return outside("revision_fanout");
    }
    return {};
}

membership::membership(member_update self, std::vector<state::member_address> seeds,
                       membership_settings settings, membership_hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)), m_seeds(std::move(seeds)),
      m_self(std::move(self)),
      // The first sequence number depends on the incarnation, so that acks meant for an earlier
      // process at this address do not match the probes of this one.
      m_next_sequence(
          static_cast<std::uint32_t>(m_self.incarnation * 0x9E3779B97F4A7C15ULL >> 32U)) {
    m_self.state = member_state::alive;
    enqueue(m_self);
}

std::vector<outgoing_message> membership::tick(time_point now, std::mt19937_64& random) {
    const std::scoped_lock lock(m_mutex);
    output out;
    if (m_left) {
        return out;
    }

    // After a pause, missing acks do not show that a member failed: pending probes are dropped
    // and the time of every suspicion is restarted.
    if (m_last_tick && now - *m_last_tick > m_settings.probe_period * pause_periods) {
        m_probes.clear();
        m_next_probe = now;
        m_next_lost_probe = now;
        for (const auto& member :
             select([](const auto& row) { return row.update.state == member_state::suspect; })) {
            m_members.update_existing(member.id, [&](auto& row) { row.changed_at = now; });
        }
    }
    m_last_tick = now;

    expire_probes(now, random, out);
    expire_suspicions(now);
    send_due_probes(now, random, out);
    probe_lost_members(now, random, out);
    return out;
}

std::vector<outgoing_message> membership::receive(const peer_message& message, time_point now,
                                                  std::mt19937_64& random) {
    output out;
    bool is_new = false;
    bool new_revisions = false;
    state::revision_view revisions;
    std::vector<state::topic_update> topics;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_left || message.from == m_self.id) {
            return out;
        }
        is_new = !m_members.find(message.from).has_value();
        for (const auto& update : message.members) {
            apply(update, now);
        }
        if (!update_sender(message, now)) {
            return out; // the sender's address is unknown, so no answer can be sent
        }
        new_revisions = merge_revisions(message.revisions);
        revisions = m_revisions;
        std::copy_if(message.topics.begin(), message.topics.end(), std::back_inserter(topics),
                     [this](const auto& update) { return accept_topic(update); });
    }

    // The hook learns new revisions before the message counts as an answer, so that a member that
    // regains contact with a majority does not serve an older revision.
    if (new_revisions && m_hooks.on_revisions) {
        m_hooks.on_revisions(revisions, now);
    }
    for (const auto& update : topics) {
        if (m_hooks.on_topic) {
            m_hooks.on_topic(update);
        }
    }

    const std::scoped_lock lock(m_mutex);
    const auto sender = m_members.find(message.from);
    if (m_left || !sender) {
        return out;
    }
    answer(message, sender->update, is_new, now, random, out);
    if (new_revisions) {
        push_revisions(now, random, out);
    }
    return out;
}

void membership::answer(const peer_message& message, const member_update& sender, bool is_new,
                        time_point now, std::mt19937_64& random, output& out) {
    // The message may be meant for another host that had this address before. This member must
    // not answer for that host.
    const bool is_target = message.target.empty() || message.target == m_self.id;
    const bool is_ping =
        message.kind == peer_message_kind::ping || message.kind == peer_message_kind::indirect_ping;
    if (is_ping && is_target) {
        auto ack = make_message(peer_message_kind::ack, sender.id);
        ack.sequence = message.sequence;
        ack.target = m_self.id;
        // Acks of indirect pings carry no evidence. At 320 members and 5% loss, evidence in them
        // made up a fifth of all bytes sent.
        if (message.kind == peer_message_kind::ping) {
            add_evidence(ack, now);
        }
        if (is_new) {
            add_members(ack, random);
        }
        out.push_back({sender.address, std::move(ack)});
    } else if (message.kind == peer_message_kind::ping_request) {
        if (const auto target = m_members.find(message.target)) {
            send_ping(target->update, now, out, sender.id, message.sequence);
        }
    } else if (message.kind == peer_message_kind::ack) {
        handle_ack(message, out);
    }
}

void membership::merge(const std::vector<member_update>& members, time_point now) {
    const std::scoped_lock lock(m_mutex);
    for (const auto& update : members) {
        apply(update, now);
    }
}

std::vector<outgoing_message> membership::leave(time_point now, std::mt19937_64& random) {
    const std::scoped_lock lock(m_mutex);
    output out;
    m_self.state = member_state::left;
    enqueue(m_self);
    for (const auto& target : choose_random(m_settings.full_probe_members, {}, random)) {
        send_ping(target, now, out);
    }
    m_left = true;
    return out;
}

std::vector<outgoing_message> membership::publish_revisions(const state::revision_view& revisions,
                                                            time_point now,
                                                            std::mt19937_64& random) {
    const std::scoped_lock lock(m_mutex);
    output out;
    m_revisions.held = std::max(m_revisions.held, revisions.held);
    if (merge_revisions(revisions) && !m_left) {
        push_revisions(now, random, out);
    }
    return out;
}

std::vector<outgoing_message> membership::probe_all(time_point now, std::mt19937_64& random) {
    const std::scoped_lock lock(m_mutex);
    output out;
    for (const auto& target : choose_random(m_members.size(), {}, random)) {
        send_ping(target, now, out);
    }
    return out;
}

void membership::set_caught_up() {
    const std::scoped_lock lock(m_mutex);
    m_caught_up = true;
}

bool membership::publish_topic(const state::topic_update& update) {
    const std::scoped_lock lock(m_mutex);
    return accept_topic(update);
}

void membership::set_listed(std::set<member_id> listed) {
    const std::scoped_lock lock(m_mutex);
    m_listed = std::move(listed);
}

std::vector<member_update> membership::members() const {
    return select([](const auto&) { return true; });
}

std::optional<member_record> membership::find(const member_id& id) const {
    return m_members.find(id);
}

member_update membership::self() const {
    const std::scoped_lock lock(m_mutex);
    return m_self;
}

std::size_t membership::listed_count() const {
    const std::scoped_lock lock(m_mutex);
    return m_listed.size();
}

state::revision_view membership::revisions() const {
    const std::scoped_lock lock(m_mutex);
    return m_revisions;
}

std::optional<time_point> membership::last_contact_with(std::size_t count, time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<time_point> contacts;
    for (const auto& id : m_listed) {
        if (id == m_self.id) {
            contacts.push_back(now);
        } else if (const auto row = m_members.find(id); row && row->last_contact_at) {
            contacts.push_back(*row->last_contact_at);
        }
    }
    if (count == 0) {
        return now;
    }
    if (contacts.size() < count) {
        return std::nullopt;
    }
    const auto at = contacts.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(contacts.begin(), at, contacts.end(), std::greater<>());
    return *at;
}

std::size_t membership::count_acknowledgements(std::uint64_t announcement) const {
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_listed.begin(), m_listed.end(), [&](const auto& id) {
            if (id == m_self.id) {
                return m_revisions.announced >= announcement;
            }
            const auto row = m_members.find(id);
            return row && row->revisions.announced >= announcement;
        }));
}

/// Applies an update about another member. Returns whether it changed the member's record.
bool membership::apply(const member_update& update, time_point now) {
    if (update.id == m_self.id) {
        refute(update);
        return false;
    }
    bool changed = false;
    bool created = false;
    std::uint32_t hash = 0;
    if (!m_members.find(update.id)) {
        // An unknown member that is dead or has left is not added, so that removed members stay
        // removed.
        if (update.state == member_state::dead || update.state == member_state::left) {
            return false;
        }
        hash = state::member_hash(update.id);
        created = true;
    }
    m_members.update(update.id, [&](member_record& row) {
        if (created) {
            row.hash = hash;
        } else if (!m_hooks.overrides(update, row.update.incarnation, row.update.state)) {
            return;
        }
        row.update = update;
        row.changed_at = now;
        changed = true;
    });
    if (created) {
        m_ids_by_hash[hash] = update.id;
    }
    if (changed) {
        enqueue(update);
    }
    return changed;
}

/// Raises this member's incarnation above that of a false or outdated update about it, so that its
/// own update replaces that one.
void membership::refute(const member_update& update) {
    const bool must_refute = update.state == member_state::alive
                                 ? update.incarnation > m_self.incarnation
                                 : update.incarnation >= m_self.incarnation;
    if (must_refute && !m_left) {
        m_self.incarnation = update.incarnation + 1;
        enqueue(m_self);
    }
}

void membership::enqueue(const member_update& update) {
    m_queued_members[update.id] = {update, 0};
}

/// Merges the higher revisions. Returns whether a higher known or announced revision was found.
bool membership::merge_revisions(const state::revision_view& revisions) {
    const auto latest_known = std::max(revisions.latest_known, revisions.held);
    const bool is_newer =
        latest_known > m_revisions.latest_known || revisions.announced > m_revisions.announced;
    m_revisions.latest_known = std::max(m_revisions.latest_known, latest_known);
    m_revisions.announced = std::max(m_revisions.announced, revisions.announced);
    return is_newer;
}

bool membership::accept_topic(const state::topic_update& update) {
    if (update.key.size() > state::max_topic_key_bytes ||
        update.value.size() > state::max_topic_value_bytes) {
        return false;
    }
    const auto key = std::pair(update.topic, update.key);
    const auto known = m_queued_topics.find(key);
    if (known != m_queued_topics.end() && known->second.update.version >= update.version) {
        return false;
    }
    if (known == m_queued_topics.end() && m_queued_topics.size() >= max_topics) {
        m_queued_topics.erase(std::max_element(
            m_queued_topics.begin(), m_queued_topics.end(),
            [](const auto& a, const auto& b) { return a.second.sent < b.second.sent; }));
    }
    m_queued_topics[key] = {update, 0};
    return true;
}

/// Updates the record of the sender from the incarnation and revisions in its message. Returns
/// false when the sender is unknown.
bool membership::update_sender(const peer_message& message, time_point now) {
    const auto known = m_members.find(message.from);
    if (!known) {
        return false;
    }
    if (message.incarnation > known->update.incarnation) {
        auto restarted = known->update;
        restarted.incarnation = message.incarnation;
        restarted.state = member_state::alive;
        apply(restarted, now);
    }
    m_members.update_existing(message.from, [&](member_record& row) {
        row.revisions.held = std::max(row.revisions.held, message.revisions.held);
        row.revisions.latest_known =
            std::max(row.revisions.latest_known, message.revisions.latest_known);
        row.revisions.announced = std::max(row.revisions.announced, message.revisions.announced);
    });
    return true;
}

void membership::record_answer(const member_id& id, time_point sent_at) {
    m_members.update_existing(id, [&](member_record& row) {
        if (!row.last_contact_at || *row.last_contact_at < sent_at) {
            row.last_contact_at = sent_at;
        }
    });
}

/// Records the answers of other members that an ack reports. The ages are subtracted from the time
/// at which the probe was sent, not from the time at which its ack is read, so that an ack that
/// waited while this process was paused does not prove recent contact.
void membership::record_evidence(const peer_message& ack, time_point sent_at) {
    for (const auto& each : ack.evidence) {
        const auto found = m_ids_by_hash.find(each.member);
        if (found != m_ids_by_hash.end()) {
            record_answer(found->second, sent_at - state::milliseconds(each.age_ms));
        }
    }
}

void membership::handle_ack(const peer_message& message, output& out) {
    const auto found = m_probes.find(message.sequence);
    if (found == m_probes.end() || message.target != found->second.target) {
        return;
    }
    auto& pending = found->second;
    pending.answered = true;
    if (message.caught_up) {
        record_answer(message.target, pending.sent_at);
    }
    if (message.from == message.target) {
        record_evidence(message, pending.sent_at);
    }

    // Forward the ack to the member that requested the indirect probe.
    const auto requester = m_members.find(pending.requester);
    if (requester && message.from == message.target) {
        auto relayed = make_message(peer_message_kind::ack, requester->update.id);
        relayed.sequence = pending.requester_sequence;
        relayed.target = message.target;
        relayed.caught_up = message.caught_up;
        out.push_back({requester->update.address, std::move(relayed)});
    }
}

/// Requests indirect probes when an ack is late, and marks members that did not answer as suspect.
void membership::expire_probes(time_point now, std::mt19937_64& random, output& out) {
    std::vector<member_id> silent;
    for (auto& [sequence, pending] : m_probes) {
        if (pending.answered || !pending.requester.empty()) {
            continue;
        }
        if (!pending.indirect_sent && now - pending.sent_at >= m_settings.probe_timeout) {
            pending.indirect_sent = true;
            for (const auto& helper :
                 choose_random(m_settings.indirect_probes, pending.target, random)) {
                auto request = make_message(peer_message_kind::ping_request, helper.id);
                request.sequence = sequence;
                request.target = pending.target;
                out.push_back({helper.address, std::move(request)});
            }
        }
        if (now - pending.sent_at >= m_settings.probe_period) {
            silent.push_back(pending.target);
        }
    }
    std::erase_if(m_probes, [&](const auto& each) {
        return now - each.second.sent_at >= m_settings.probe_period;
    });
    for (const auto& id : silent) {
        const auto row = m_members.find(id);
        if (row && row->update.state == member_state::alive) {
            auto update = row->update;
            update.state = member_state::suspect;
            apply(update, now);
        }
    }
}

/// Declares suspects dead after `suspicion_time`. Removes unlisted members that have been dead or
/// left for `dead_retention`.
void membership::expire_suspicions(time_point now) {
    const auto overdue = select([&](const member_record& row) {
        return row.update.state == member_state::suspect &&
               now - row.changed_at >= m_settings.suspicion_time;
    });
    for (auto update : overdue) {
        update.state = member_state::dead;
        apply(update, now);
    }
    const auto gone = select([&](const member_record& row) {
        return !is_reachable(row) && now - row.changed_at >= m_settings.dead_retention &&
               !m_listed.contains(row.update.id);
    });
    for (const auto& update : gone) {
        m_ids_by_hash.erase(state::member_hash(update.id));
        m_members.erase(update.id);
    }
}

void membership::send_due_probes(time_point now, std::mt19937_64& random, output& out) {
    if (!m_next_probe) {
        m_next_probe = now;
    }
    const auto candidates =
        m_next_probe <= now ? select(is_reachable) : std::vector<member_update>{};
    if (candidates.empty()) {
        return;
    }
    const auto reachable = static_cast<std::uint32_t>(candidates.size());
    const auto count =
        reachable < m_settings.full_probe_members ? reachable : m_settings.sparse_probes;
    const auto interval =
        std::chrono::duration_cast<time_point::duration>(m_settings.probe_period) / count;
    for (int i = 0; i < max_probes_per_tick && *m_next_probe <= now; ++i) {
        *m_next_probe += interval;

        // Each round visits every member once in random order, which bounds
        // the time until a given member is probed.
        if (m_probe_order.empty()) {
            for (const auto& candidate : candidates) {
                m_probe_order.push_back(candidate.id);
            }
            std::shuffle(m_probe_order.begin(), m_probe_order.end(), random);
        }
        const auto target = m_members.find(m_probe_order.back());
        m_probe_order.pop_back();
        if (target && is_reachable(*target)) {
            send_ping(target->update, now, out);
        }
    }
    m_next_probe = std::max(*m_next_probe, now);
}

/// Once per probe period, pings one random member that is dead or has left, or a seed that is not a
/// known member, so that a healed partition is noticed. While no member is known, pings all seeds
/// in each period, so that this member joins as soon as a seed is reachable.
void membership::probe_lost_members(time_point now, std::mt19937_64& random, output& out) {
    if (m_next_lost_probe && now < *m_next_lost_probe) {
        return;
    }
    m_next_lost_probe = now + m_settings.probe_period;
    const auto known = members();
    std::vector<member_update> lost;
    std::copy_if(known.begin(), known.end(), std::back_inserter(lost), [](const auto& update) {
        return update.state == member_state::dead || update.state == member_state::left;
    });
    for (const auto& seed : m_seeds) {
        const auto has_seed_address = [&](const auto& update) { return update.address == seed; };
        if (seed != m_self.address && std::none_of(known.begin(), known.end(), has_seed_address)) {
            lost.push_back({member_id(), seed, 0, member_state::alive});
        }
    }
    std::shuffle(lost.begin(), lost.end(), random);
    const std::size_t count = known.empty() ? lost.size() : std::min<std::size_t>(1, lost.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto message = make_message(peer_message_kind::ping, lost[i].id);
        message.target = lost[i].id;
        message.members.insert(message.members.begin(), m_self);
        message.sequence = m_next_sequence++;
        out.push_back({lost[i].address, std::move(message)});
    }
}

void membership::send_ping(const member_update& target, time_point now, output& out,
                           const member_id& requester, std::uint32_t requester_sequence) {
    const auto kind =
        requester.empty() ? peer_message_kind::ping : peer_message_kind::indirect_ping;
    auto message = make_message(kind, target.id);
    message.target = target.id;
    message.sequence = m_next_sequence++;
    m_probes[message.sequence] = {target.id, now, false, false, requester, requester_sequence};
    out.push_back({target.address, std::move(message)});
}

/// Sends newer revisions to a few members at once, so that each hop takes one network delay instead
/// of a probe period.
void membership::push_revisions(time_point now, std::mt19937_64& random, output& out) {
    for (const auto& target : choose_random(m_settings.revision_fanout, {}, random)) {
        send_ping(target, now, out);
    }
}

peer_message membership::make_message(peer_message_kind kind, const member_id& to) {
    peer_message message;
    message.kind = kind;
    message.from = m_self.id;
    message.incarnation = m_self.incarnation;
    message.revisions = m_revisions;
    message.caught_up = m_caught_up;
    add_updates(message, to);
    return message;
}

void membership::add_updates(peer_message& message, const member_id& to) {
    std::size_t bytes = 0;
    const auto reserve = [&](std::size_t more) {
        const bool fits = bytes + more <= state::max_update_bytes;
        bytes += fits ? more : 0;
        return fits;
    };

    // A member that is recorded as suspect, dead or left must receive that update to refute it.
    const auto row = m_members.find(to);
    if (row && row->update.state != member_state::alive && reserve(encoded_bytes(row->update))) {
        message.members.push_back(row->update);
    }

    // Member updates that were sent least often go first, so that a burst does not delay new ones.
    const auto limit = retransmit_limit();
    std::vector<queued_member*> members;
    for (auto& [id, queued] : m_queued_members) {
        members.push_back(&queued);
    }
    std::sort(members.begin(), members.end(),
              [](const auto* a, const auto* b) { return a->sent < b->sent; });
    for (auto* queued : members) {
        if (queued->update.id != to && reserve(encoded_bytes(queued->update))) {
            message.members.push_back(queued->update);
            ++queued->sent;
        }
    }
    for (auto& [key, queued] : m_queued_topics) {
        if (queued.sent < limit && reserve(encoded_bytes(queued.update))) {
            message.topics.push_back(queued.update);
            ++queued.sent;
        }
    }
    std::erase_if(m_queued_members, [&](const auto& each) { return each.second.sent >= limit; });
}

/// Adds the most recent answers of members as evidence.
void membership::add_evidence(peer_message& message, time_point now) const {
    std::vector<state::answer_evidence> rows;
    m_members.for_each([&](const auto&, const member_record& row) {
        if (!row.last_contact_at) {
            return;
        }
        const auto age = std::chrono::ceil<state::milliseconds>(now - *row.last_contact_at).count();
        if (age >= 0 && age < state::max_evidence_age_ms) {
            rows.push_back({row.hash, static_cast<std::uint32_t>(age)});
        }
    });
    // When every member probes all others each period, little evidence is needed.
    const auto known = m_members.size();
    const std::size_t limit = known < m_settings.full_probe_members ? 4 : state::max_evidence;
    const auto count = std::min(limit, rows.size());
    std::partial_sort(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(count), rows.end(),
                      [](const auto& a, const auto& b) { return a.age_ms < b.age_ms; });
    rows.resize(count);
    message.evidence = std::move(rows);
}

/// Adds randomly chosen members to a message for a new member, up to `max_update_bytes`.
void membership::add_members(peer_message& message, std::mt19937_64& random) const {
    std::size_t bytes = 0;
    for (const auto& update : message.members) {
        bytes += encoded_bytes(update);
    }
    for (const auto& update : choose_random(m_members.size(), {}, random)) {
        if (bytes + encoded_bytes(update) > state::max_update_bytes) {
            break;
        }
        bytes += encoded_bytes(update);
        message.members.push_back(update);
    }
}

std::vector<member_update> membership::choose_random(std::size_t count, const member_id& except,
                                                     std::mt19937_64& random) const {
    auto candidates = select(
        [&](const member_record& row) { return is_reachable(row) && row.update.id != except; });
    std::shuffle(candidates.begin(), candidates.end(), random);
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

std::vector<member_update>
membership::select(const std::function<bool(const member_record&)>& matches) const {
    std::vector<member_update> selected;
    m_members.for_each([&](const auto&, const member_record& row) {
        if (matches(row)) {
            selected.push_back(row.update);
        }
    });
    // The iteration order of a hash map differs between builds. Sorting keeps decisions
    // reproducible.
    std::sort(selected.begin(), selected.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return selected;
}

std::uint32_t membership::retransmit_limit() const {
    const auto members = static_cast<std::uint64_t>(m_members.size()) + 1;
    return m_settings.retransmit_factor * static_cast<std::uint32_t>(std::bit_width(members));
}

} // namespace savoryrelay::coordination
