// Implements the rounds of the exchange.
#include "savoryrelay/coordination/exchange/digest_exchange.h"

#include <utility>

namespace savoryrelay::coordination {

using state::digest_scope;
using state::peer_digest;

std::vector<outgoing_digest> digest_exchange::next_round(state::time_point now) {
    ++m_round;
    peer_digest own;
    m_sources.describe(own, now);
    m_hosts.set_store_lost(own.has_lost_store);
    auto receivers = m_hosts.next_receivers(now);
    m_is_store_reader = receivers.is_store_reader;
    m_is_hub = receivers.is_hub;
    std::vector<outgoing_digest> outgoing;

    own.scope = receivers.is_hub ? digest_scope::hub : digest_scope::member;
    own.host_count = static_cast<std::uint32_t>(m_hosts.member_count(now));
    own.heard_hosts = own.host_count;

    // Members learn what all hosts know, other hosts only that this one is there.
    if (receivers.is_hub && !receivers.members.empty() && m_round % rounds_per_fleet_digest == 0) {
        auto fleet = own;
        fleet.scope = digest_scope::fleet;
        fleet.host_count = static_cast<std::uint32_t>(m_hosts.host_count(now));
        fleet.heard_hosts = static_cast<std::uint32_t>(m_hosts.heard_hosts(now));
        fleet.peers = m_hosts.sample(m_round, peers_per_digest);
        fleet.loads = m_sources.loads(digest_scope::fleet, now);
        fleet.work = m_sources.work(digest_scope::fleet, now);
        outgoing.push_back({std::move(fleet), receivers.members});
    }
    auto introduction = own;
    introduction.scope = digest_scope::introduction;
    introduction.peers = m_hosts.sample(m_round, peers_per_introduction);
    if (m_round % rounds_per_probe == 0) {
        auto probe = introduction;
        probe.scope = digest_scope::probe;
        outgoing.push_back({std::move(probe), receivers.silent});
    }
    outgoing.push_back({std::move(introduction), receivers.strangers});

    // Members get notices in each round, so that a lost datagram delays them by one round.
    auto noticed = own;
    noticed.part = peer_digest::notices_only;
    noticed.leaving_runners = m_sources.leaving_runners(now);
    noticed.call_rates = m_sources.call_rates(now);
    noticed.crash_notices = m_sources.crash_notices(now);
    if (!noticed.leaving_runners.empty() || !noticed.call_rates.empty() ||
        !noticed.crash_notices.empty()) {
        auto notified = receivers.hubs;
        notified.insert(notified.end(), receivers.members.begin(), receivers.members.end());
        outgoing.push_back({std::move(noticed), std::move(notified)});
    }

    auto observed = own;
    observed.part = peer_digest::observations_only;
    own.peers = m_hosts.sample(m_round, peers_per_digest);
    own.loads = m_sources.loads(own.scope, now);
    own.work = m_sources.work(own.scope, now);
    own.runners_to_confirm = m_sources.runners_to_confirm();
    outgoing.push_back({std::move(own), receivers.hubs});

    // The controller's observations go to all hubs, which pass them on; those of the other
    // hosts go to the controller.
    observed.observations = m_sources.observations(now);
    auto observers = receivers.hubs;
    {
        const std::scoped_lock lock(m_mutex);
        if (observed.is_controller) {
            observed.observations = m_observations.take_due(std::move(observed.observations), now);
            if (!receivers.is_hub) {
                observers = receivers.chosen_hubs;
            }
            observers.insert(observers.end(), receivers.members.begin(), receivers.members.end());
            m_controller.reset();
        } else {
            m_observations.reset();
            if (receivers.is_hub && m_controller) {
                observers = {*m_controller};
            }
        }
        m_receivers = std::move(receivers);
    }
    if (!observed.observations.empty()) {
        outgoing.push_back({std::move(observed), std::move(observers)});
    }
    std::erase_if(outgoing, [](const auto& each) { return each.receivers.empty(); });
    return outgoing;
}

received_digest digest_exchange::receive(const peer_digest& digest, state::time_point now) {
    received_digest result;
    result.is_accepted = m_hosts.apply(digest, now);
    if (!result.is_accepted) {
        return result;
    }
    for (const auto& peer : digest.peers) {
        m_hosts.add(peer);
    }
    const std::scoped_lock lock(m_mutex);
    if (digest.is_controller) {
        m_controller = digest.host.address;
    }
    if (!digest.is_excerpt()) {
        result.is_load_source = counts_loads(digest);
        return result;
    }
    if (digest.part == peer_digest::notices_only) {
        return result;
    }
    if (m_receivers.is_hub && digest.is_controller) {
        result.forward_to = m_receivers.members;
        std::erase(result.forward_to, digest.host.address);
    } else if (m_receivers.is_hub && digest.scope == digest_scope::member && m_controller) {
        result.forward_to = {*m_controller};
    }
    return result;
}

bool digest_exchange::counts_loads(const peer_digest& digest) const {
    switch (digest.scope) {
    case digest_scope::member:
    case digest_scope::hub:
        return m_receivers.is_hub;
    case digest_scope::fleet:
        return !m_receivers.is_hub && !m_receivers.hubs.empty() &&
               m_receivers.hubs.front() == digest.host.address;
    case digest_scope::probe:
    case digest_scope::introduction:
        break;
    }
    return false;
}

} // namespace savoryrelay::coordination
