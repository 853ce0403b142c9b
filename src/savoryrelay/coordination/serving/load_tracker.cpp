// Counts calls in flight and the rates of calls at limited endpoints.
#include "savoryrelay/coordination/serving/load_tracker.h"

#include <algorithm>
#include <cassert>
#include <cstdint>

namespace savoryrelay::coordination {
namespace {

// Wanted calls count half after the time in which the limit allows this many of them: an average
// of fewer calls would say little.
constexpr double calls_per_half_life = 2;
constexpr state::milliseconds min_wanted_half_life{200};
constexpr state::milliseconds max_wanted_half_life{10'000};
constexpr state::milliseconds sent_half_life{1'500};
// Lower rates are not reported.
constexpr double min_reported_per_s = 0.01;

state::milliseconds wanted_half_life(double limit_per_s) {
    constexpr double ms_per_s = 1'000;
    const auto longest = static_cast<double>(max_wanted_half_life.count());
    const auto shortest = static_cast<double>(min_wanted_half_life.count());
    const double ms = limit_per_s > 0 ? ms_per_s * calls_per_half_life / limit_per_s : longest;
    return state::milliseconds(static_cast<std::int64_t>(std::clamp(ms, shortest, longest)));
}

} // namespace

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

void load_tracker::note_wanted_call(const state::endpoint_id& endpoint, double limit_per_s,
                                    state::time_point now) {
    m_own_limited.update(endpoint, [&](limited_calls& calls) {
        const auto half_life = wanted_half_life(limit_per_s);
        if (calls.wanted_half_life.count() > 0 && calls.wanted_half_life != half_life) {
            calls.wanted.change_half_life(now, calls.wanted_half_life);
        }
        calls.wanted_half_life = half_life;
        calls.wanted.note(now, half_life);
    });
}

void load_tracker::note_sent_call(const state::endpoint_id& endpoint, state::time_point now) {
    m_own_limited.update(endpoint,
                         [&](limited_calls& calls) { calls.sent.note(now, sent_half_life); });
}

void load_tracker::add_rates(state::endpoint_load& load, const limited_calls& calls,
                             state::time_point now) {
    if (calls.wanted_half_life.count() > 0) {
        load.wanted_calls_per_s += calls.wanted.per_s(now, calls.wanted_half_life);
    }
    load.sent_calls_per_s += calls.sent.per_s(now, sent_half_life);
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

std::vector<state::endpoint_load_entry> load_tracker::own(state::time_point now) const {
    loads_by_endpoint own;
    add_own(own, now);
    std::vector<state::endpoint_load_entry> loads;
    for (const auto& [id, load] : own) {
        loads.push_back({id, load});
    }
    return loads;
}

void load_tracker::add_own(loads_by_endpoint& loads, state::time_point now) const {
    m_own.for_each([&](const auto& id, const auto& load) { loads[id] += load; });
    m_own_limited.for_each([&](const auto& id, const limited_calls& calls) {
        state::endpoint_load rates;
        add_rates(rates, calls, now);
        if (rates.wanted_calls_per_s + rates.sent_calls_per_s >= min_reported_per_s) {
            loads[id] += rates;
        }
    });
}

state::endpoint_load load_tracker::load_of(const state::endpoint_id& endpoint,
                                           state::time_point now) const {
    auto load = m_own.find(endpoint).value_or(state::endpoint_load{});
    if (const auto calls = m_own_limited.find(endpoint)) {
        add_rates(load, *calls, now);
    }
    m_peers.for_each([&](const auto&, const peer_loads& peer) {
        if (now - peer.at > peer_load_age) {
            return;
        }
        for (const auto& entry : peer.loads) {
            if (entry.endpoint == endpoint) {
                load += entry.load;
            }
        }
    });
    return load;
}

std::vector<state::endpoint_load_entry> load_tracker::report(state::digest_scope scope,
                                                             state::time_point now) {
    using state::digest_scope;
    m_own_limited.erase_if([&](const auto&, const limited_calls& calls) {
        state::endpoint_load rates;
        add_rates(rates, calls, now);
        return rates.wanted_calls_per_s + rates.sent_calls_per_s < min_reported_per_s;
    });
    if (scope == digest_scope::member) {
        auto loads = own(now);
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
    add_own(loads, now);
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
