// Merges what digests, the table of hosts and other hosts tell about the entry hosts.
#include "savoryrelay/coordination/exchange/host_directory.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savoryrelay::coordination {
namespace {

bool is_recent(const std::optional<state::time_point>& at, state::milliseconds age,
               state::time_point now) {
    return at && now - *at < age;
}

} // namespace

std::string to_text(const state::member_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

host_directory::host_directory(const state::host_entry& own)
    : m_own{own, state::stable_hash(own.name), false} {}

void host_directory::set_name(known_host& host, const std::string& name) {
    if (!name.empty() && host.entry.name != name) {
        host.entry.name = name;
        host.name_hash = state::stable_hash(name);
    }
}

bool host_directory::is_silent(const known_host& host, state::time_point now) {
    return host.awaited_since && now - *host.awaited_since >= silence;
}

void host_directory::add(const state::host_entry& entry) {
    if (entry.address.port == 0 || entry.address == m_own.entry.address) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    auto& known = m_hosts[to_text(entry.address)];
    known.entry.address = entry.address;
    set_name(known, entry.name);
    if (!entry.availability_zone.empty()) {
        known.entry.availability_zone = entry.availability_zone;
        known.entry.processor_share = entry.processor_share;
    }
}

void host_directory::set_store_lost(bool is_lost) {
    const std::scoped_lock lock(m_mutex);
    if (std::exchange(m_own.has_lost_store, is_lost) != is_lost) {
        m_roles_expire_at = {};
    }
}

bool host_directory::apply(const state::peer_digest& digest, state::time_point now) {
    if (digest.host.address == m_own.entry.address || digest.host.name == m_own.entry.name) {
        return false;
    }
    const std::scoped_lock lock(m_mutex);
    auto& known = m_hosts[to_text(digest.host.address)];
    // Incarnations come from the time of day, which may have been set back. A process that
    // has gone silent has ended.
    if (digest.incarnation < known.incarnation && is_recent(known.heard_at, role_duration, now)) {
        return false;
    }
    set_name(known, digest.host.name);
    known.entry = digest.host;
    known.incarnation = digest.incarnation;
    known.heard_at = now;
    known.awaited_since.reset();
    if (digest.is_excerpt()) {
        return true;
    }
    switch (digest.scope) {
    case state::digest_scope::member:
        known.heard_as_member_at = now;
        known.heard_as_hub_at.reset();
        break;
    case state::digest_scope::hub:
    case state::digest_scope::fleet:
        known.heard_as_hub_at = now;
        known.heard_as_member_at.reset();
        known.counted_hosts = digest.host_count;
        known.heard_hosts = digest.heard_hosts;
        known.sums_fleet = digest.scope == state::digest_scope::fleet;
        break;
    case state::digest_scope::probe:
        known.has_probed = true;
        break;
    case state::digest_scope::introduction:
        break;
    }
    known.scope = digest.scope;
    known.operators_version = digest.operators_version;
    known.runners_version = digest.runners_version;
    known.configuration_version = digest.configuration_version;
    known.tables_current_at = now - std::min(digest.store_answer_age, digest.hub_answer_age);
    if (std::exchange(known.has_lost_store, digest.has_lost_store) != digest.has_lost_store) {
        m_roles_expire_at = {};
    }
    return true;
}

void host_directory::update_roles(state::time_point now) {
    const auto is_known_silent = [&](const state::member_address& address) {
        return is_silent(m_hosts[to_text(address)], now);
    };
    const bool lost_hub = std::any_of(m_roles.hubs.begin(), m_roles.hubs.end(), is_known_silent) ||
                          (m_roles.reports_to && is_known_silent(*m_roles.reports_to));
    if (now < m_roles_expire_at && !lost_hub) {
        return;
    }
    std::vector<hub_candidate> candidates;
    candidates.reserve(m_hosts.size());
    for (const auto& [key, host] : m_hosts) {
        candidates.push_back(
            {host.entry, host.name_hash, is_silent(host, now), host.has_lost_store});
    }
    m_roles = choose_roles(m_own, candidates);
    m_roles_expire_at = now + roles_duration;
}

digest_receivers host_directory::next_receivers(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    update_roles(now);
    digest_receivers receivers;
    receivers.is_store_reader = m_roles.is_store_reader;
    receivers.chosen_hubs = m_roles.hubs;
    receivers.is_hub = m_roles.is_hub;
    for (auto& [key, host] : m_hosts) {
        if (std::exchange(host.has_probed, false)) {
            receivers.strangers.push_back(host.entry.address);
        }
        if (is_silent(host, now)) {
            receivers.silent.push_back(host.entry.address);
        } else if (is_recent(host.heard_as_member_at, role_duration, now)) {
            receivers.members.push_back(host.entry.address);
            receivers.is_hub = true;
        }
    }
    if (!receivers.is_hub) {
        const auto& own_hub = *m_roles.reports_to;
        receivers.hubs.push_back(own_hub);
        for (const auto& [key, host] : m_hosts) {
            if (is_recent(host.heard_as_hub_at, role_duration, now) &&
                host.scope == state::digest_scope::hub && host.entry.address != own_hub) {
                receivers.strangers.push_back(host.entry.address);
            }
        }
        await(receivers.hubs, now);
        return receivers;
    }
    std::set<std::string> hubs;
    for (const auto& address : m_roles.hubs) {
        hubs.insert(to_text(address));
    }
    for (const auto& [key, host] : m_hosts) {
        const bool is_hub =
            hubs.contains(key) || is_recent(host.heard_as_hub_at, role_duration, now);
        if (is_hub && !is_silent(host, now)) {
            receivers.hubs.push_back(host.entry.address);
        }
    }
    await(receivers.hubs, now);
    return receivers;
}

void host_directory::await(const std::vector<state::member_address>& addresses,
                           state::time_point now) {
    for (const auto& address : addresses) {
        auto& since = m_hosts[to_text(address)].awaited_since;
        if (!since) {
            since = now;
        }
    }
}

std::optional<table_source> host_directory::best_source(shared_table table,
                                                        state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::optional<table_source> best;
    for (const auto& [key, host] : m_hosts) {
        if (!is_recent(host.heard_at, role_duration, now)) {
            continue;
        }
        const auto version =
            table == shared_table::operators ? host.operators_version : host.runners_version;
        if (!best || version > best->version ||
            (version == best->version && host.tables_current_at > best->current_at)) {
            best = table_source{host.entry.address, version, host.configuration_version,
                                host.tables_current_at};
        }
    }
    return best;
}

std::optional<table_source> host_directory::newest_configuration(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::optional<table_source> newest;
    for (const auto& [key, host] : m_hosts) {
        if (is_recent(host.heard_at, role_duration, now) &&
            (!newest || host.configuration_version > newest->configuration_version)) {
            newest = table_source{host.entry.address, host.operators_version,
                                  host.configuration_version, host.tables_current_at};
        }
    }
    return newest;
}

std::vector<state::host_entry> host_directory::sample(std::uint64_t round,
                                                      std::size_t count) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<state::host_entry> entries;
    const auto step = (m_hosts.size() + count - 1) / count;
    std::size_t index = 0;
    for (const auto& [key, host] : m_hosts) {
        if ((index++ + round) % step == 0 && !host.entry.name.empty()) {
            entries.push_back(host.entry);
        }
    }
    return entries;
}

std::vector<state::host_entry> host_directory::answering_hosts(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<state::host_entry> entries;
    for (const auto& [key, host] : m_hosts) {
        if (!host.entry.name.empty() && !is_silent(host, now)) {
            entries.push_back(host.entry);
        }
    }
    return entries;
}

std::size_t host_directory::host_count(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::size_t own_count = 1;
    std::size_t fleet_count = 0;
    for (const auto& [key, host] : m_hosts) {
        if (!is_recent(host.heard_at, counted_age, now)) {
            continue;
        }
        switch (host.scope) {
        case state::digest_scope::member:
            ++own_count;
            break;
        case state::digest_scope::hub:
            own_count += host.counted_hosts;
            break;
        case state::digest_scope::fleet:
            fleet_count = std::max(fleet_count, host.counted_hosts);
            break;
        case state::digest_scope::probe:
        case state::digest_scope::introduction:
            break;
        }
    }
    return std::max(own_count, fleet_count);
}

std::size_t host_directory::heard_hosts(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::size_t own_count = 1;
    std::size_t fleet_count = 0;
    for (const auto& [key, host] : m_hosts) {
        if (is_recent(host.heard_as_member_at, role_duration, now)) {
            ++own_count;
        } else if (is_recent(host.heard_as_hub_at, role_duration, now) && !host.sums_fleet) {
            own_count += host.heard_hosts;
        } else if (is_recent(host.heard_as_hub_at, role_duration, now) && !m_roles.is_hub) {
            fleet_count = std::max(fleet_count, host.heard_hosts);
        }
    }
    return std::max(own_count, fleet_count);
}

std::size_t host_directory::member_count(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return 1 + static_cast<std::size_t>(
                   std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& entry) {
                       return entry.second.scope == state::digest_scope::member &&
                              is_recent(entry.second.heard_as_member_at, role_duration, now);
                   }));
}

std::vector<std::uint64_t> host_directory::name_hashes() const {
    const std::scoped_lock lock(m_mutex);
    std::vector<std::uint64_t> hashes{m_own.name_hash};
    for (const auto& [key, host] : m_hosts) {
        if (!host.entry.name.empty()) {
            hashes.push_back(host.name_hash);
        }
    }
    return hashes;
}

bool host_directory::hears_hub(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& entry) {
        return is_recent(entry.second.heard_as_hub_at, role_duration, now);
    });
}

} // namespace savoryrelay::coordination
