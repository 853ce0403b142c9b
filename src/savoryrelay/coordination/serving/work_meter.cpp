// Keeps exponentially decayed sums of work.
#include "savoryrelay/coordination/serving/work_meter.h"

#include <chrono>
#include <cmath>
#include <numbers>

namespace savoryrelay::coordination {
namespace {

double to_ms(state::time_point::duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

double work_meter::decayed(const average& value, state::time_point now) {
    return value.work_ms * std::exp2(-to_ms(now - value.at) / to_ms(half_life));
}

void work_meter::note(const std::string& model, double work_ms, state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    auto& value = m_own[model];
    value.work_ms = decayed(value, now) + work_ms;
    value.at = now;
}

void work_meter::apply_peer(const std::string& peer, state::digest_scope scope,
                            std::vector<state::model_work> work, state::time_point now) {
    using state::digest_scope;
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_peers, [&](const auto& entry) {
        return (entry.second.scope == digest_scope::fleet) != (scope == digest_scope::fleet) ||
               now - entry.second.at > peer_work_age;
    });
    m_peers[peer] = {scope, std::move(work), now};
}

std::vector<state::model_work> work_meter::own(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<state::model_work> work;
    for (const auto& [model, value] : m_own) {
        // For a constant rate of work, the decayed sum is the rate times
        // half_life / ln 2.
        work.push_back({model, decayed(value, now) * std::numbers::ln2 / to_ms(half_life)});
    }
    return work;
}

std::vector<state::model_work> work_meter::report(state::digest_scope scope,
                                                  state::time_point now) const {
    if (scope == state::digest_scope::member) {
        return own(now);
    }
    std::vector<state::model_work> work;
    for (const auto& [model, groups] : sum(now, scope == state::digest_scope::hub)) {
        work.push_back({model, groups});
    }
    return work;
}

std::map<std::string, double> work_meter::sum(state::time_point now, bool members_only) const {
    std::map<std::string, double> work;
    for (const auto& entry : own(now)) {
        work[entry.model] += entry.groups;
    }
    const std::scoped_lock lock(m_mutex);
    for (const auto& [peer, reported] : m_peers) {
        if (now - reported.at > peer_work_age ||
            (members_only && reported.scope != state::digest_scope::member)) {
            continue;
        }
        for (const auto& entry : reported.work) {
            work[entry.model] += entry.groups;
        }
    }
    return work;
}

std::map<std::string, double> work_meter::all(state::time_point now) const {
    return sum(now, false);
}

} // namespace savoryrelay::coordination
