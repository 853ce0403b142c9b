// Orders hosts by zone and chance, and passes over those that could not help lately.
#include "savoryrelay/coordination/reach/relay_choice.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

std::string key_of(const state::member_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace

bool relay_choice::is_zone_cut_off(const state::availability_zone_id& zone,
                                   state::time_point now) const {
    const auto refusals = m_zone_refusals.find(zone);
    return refusals != m_zone_refusals.end() && refusals->second.count >= max_zone_refusals &&
           now - refusals->second.last_at < silence_pause;
}

std::vector<state::host_entry>
relay_choice::candidates(std::vector<state::host_entry> hosts,
                         const state::availability_zone_id& endpoint_zone,
                         state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(hosts, [&](const state::host_entry& host) {
        const auto known = m_passed_over.find(key_of(host.address));
        return known != m_passed_over.end() && now < known->second.until;
    });
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const auto offset = static_cast<std::size_t>(m_random() % (hosts.size() - i));
        std::swap(hosts[i], hosts[i + offset]);
    }
    std::stable_partition(hosts.begin(), hosts.end(), [&](const state::host_entry& host) {
        return host.availability_zone == m_own_zone || host.availability_zone == endpoint_zone;
    });
    std::stable_partition(hosts.begin(), hosts.end(), [&](const state::host_entry& host) {
        return !is_zone_cut_off(host.availability_zone, now);
    });
    hosts.resize(std::min(hosts.size(), max_tries));
    return hosts;
}

void relay_choice::note(const state::host_entry& relay, relay_outcome outcome,
                        state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_passed_over,
                  [&](const auto& host) { return now >= host.second.until + silence_pause; });
    const bool is_in_touch = outcome != relay_outcome::cut_off && outcome != relay_outcome::silent;
    if (is_in_touch) {
        m_passed_over.erase(key_of(relay.address));
        m_zone_refusals.erase(relay.availability_zone);
        m_found_at = now;
        m_without_since.reset();
        return;
    }
    if (outcome == relay_outcome::cut_off) {
        auto& refusals = m_zone_refusals[relay.availability_zone];
        ++refusals.count;
        refusals.last_at = now;
    }
    auto& host = m_passed_over[key_of(relay.address)];
    host.pause = outcome == relay_outcome::silent
                     ? silence_pause
                     : std::clamp(2 * host.pause, refusal_pause, silence_pause);
    host.until = now + host.pause;
    note_failed_search(now);
}

void relay_choice::note_no_candidate(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    note_failed_search(now);
}

void relay_choice::note_failed_search(state::time_point now) {
    if (!m_without_since || now - m_without_until >= search_age) {
        m_without_since = now;
    }
    m_without_until = now;
}

bool relay_choice::has_no_relay(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return m_without_since && now - *m_without_since >= search_time &&
           now - m_without_until < search_age;
}

bool relay_choice::needs_search(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return !m_found_at || now - *m_found_at >= search_time;
}

} // namespace savoryrelay::coordination
