// Counts calls in flight.
#include "savoryrelay/coordination/serving/load_tracker.h"

#include <cassert>

namespace savoryrelay::coordination {

void load_tracker::begin_call(const state::endpoint_id& endpoint, double prompt_tokens) {
    m_own.update(endpoint, [&](state::endpoint_load& load) {
        ++load.waiting;
        load.waiting_prompt_tokens += prompt_tokens;
    });
}

void load_tracker::note_first_event(const state::endpoint_id& endpoint, double prompt_tokens) {
    m_own.update(endpoint, [&](state::endpoint_load& load) {
        assert(load.waiting > 0);
        --load.waiting;
        load.waiting_prompt_tokens -= prompt_tokens;
        ++load.writing;
    });
}

void load_tracker::end_call(const state::endpoint_id& endpoint, double prompt_tokens,
                            bool was_writing) {
    m_own.update(endpoint, [&](state::endpoint_load& load) {
        if (was_writing) {
            assert(load.writing > 0);
            --load.writing;
            return;
        }
        assert(load.waiting > 0);
        --load.waiting;
        load.waiting_prompt_tokens -= prompt_tokens;
    });
    m_own.extract_if(endpoint, [](const state::endpoint_load& load) {
        return load.waiting == 0 && load.writing == 0;
    });
}

void load_tracker::apply_peer(const std::string& source, state::digest_scope scope,
                              std::vector<state::endpoint_load_entry> loads,
                              state::time_point now) {
    using state::digest_scope;
    if (scope == digest_scope::fleet) {
        const auto reported = m_reported.load();
        for (auto& entry : loads) {
            if (const auto own = reported->find(entry.endpoint); own != reported->end()) {
                entry.load -= own->second;
            }
        }
    }
    // The scope of the sources changes only when this host becomes a hub or a member.
    m_peers.erase_if([&](const auto&, const peer_loads& peer) {
        return (peer.scope == digest_scope::fleet) != (scope == digest_scope::fleet);
    });
    m_peers.update(source, [&](peer_loads& known) {
        known.scope = scope;
        known.loads = std::move(loads);
        known.at = now;
    });
}

std::vector<state::endpoint_load_entry> load_tracker::own() const {
    std::vector<state::endpoint_load_entry> loads;
    m_own.for_each([&](const auto& id, const auto& load) { loads.push_back({id, load}); });
    return loads;
}

std::vector<state::endpoint_load_entry> load_tracker::report(state::digest_scope scope,
                                                             state::time_point now) {
    using state::digest_scope;
    if (scope == digest_scope::member) {
        auto loads = own();
        loads_by_endpoint reported;
        for (const auto& entry : loads) {
            reported.emplace(entry.endpoint, entry.load);
        }
        m_reported.replace_if(std::move(reported), [](const auto&, const auto&) { return true; });
        return loads;
    }
    std::vector<state::endpoint_load_entry> loads;
    for (const auto& [id, load] : sum(now, scope == digest_scope::hub)) {
        loads.push_back({id, load});
    }
    return loads;
}

load_tracker::loads_by_endpoint load_tracker::sum(state::time_point now, bool members_only) const {
    loads_by_endpoint loads;
    m_own.for_each([&](const auto& id, const auto& load) { loads[id] += load; });
    m_peers.for_each([&](const auto&, const peer_loads& peer) {
        if (now - peer.at <= peer_load_age &&
            (!members_only || peer.scope == state::digest_scope::member)) {
            for (const auto& entry : peer.loads) {
                loads[entry.endpoint] += entry.load;
            }
        }
    });
    return loads;
}

std::unordered_map<state::endpoint_id, state::endpoint_load>
load_tracker::all(state::time_point now) const {
    return sum(now, false);
}

} // namespace savoryrelay::coordination
