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

void work_meter::apply_peer(const std::string& peer, std::vector<state::model_work> work,
                            state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    m_peers[peer] = {std::move(work), now};
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

std::map<std::string, double> work_meter::all(state::time_point now) const {
    std::map<std::string, double> work;
    for (const auto& entry : own(now)) {
        work[entry.model] += entry.groups;
    }
    const std::scoped_lock lock(m_mutex);
    for (const auto& [peer, reported] : m_peers) {
        if (now - reported.at > peer_work_age) {
            continue;
        }
        for (const auto& entry : reported.work) {
            work[entry.model] += entry.groups;
        }
    }
    return work;
}

} // namespace savoryrelay::coordination
