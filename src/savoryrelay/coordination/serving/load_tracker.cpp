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

void load_tracker::apply_peer(const std::string& source,
                              std::vector<state::endpoint_load_entry> loads,
                              state::time_point now) {
    m_peers.update(source, [&](peer_loads& known) {
        known.loads = std::move(loads);
        known.at = now;
    });
}

std::vector<state::endpoint_load_entry> load_tracker::own() const {
    std::vector<state::endpoint_load_entry> loads;
    m_own.for_each([&](const auto& id, const auto& load) { loads.push_back({id, load}); });
    return loads;
}

std::unordered_map<state::endpoint_id, state::endpoint_load>
load_tracker::all(state::time_point now) const {
    std::unordered_map<state::endpoint_id, state::endpoint_load> loads;
    m_own.for_each([&](const auto& id, const auto& load) { loads[id] += load; });
    m_peers.for_each([&](const auto&, const peer_loads& peer) {
        if (now - peer.at <= peer_load_age) {
            for (const auto& entry : peer.loads) {
                loads[entry.endpoint] += entry.load;
            }
        }
    });
    return loads;
}

} // namespace savoryrelay::coordination
