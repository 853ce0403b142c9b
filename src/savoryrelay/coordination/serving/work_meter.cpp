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

// For a constant rate of work, a decayed sum is the rate times half_life / ln 2.
double rate_of(double decayed_sum, state::milliseconds half_life) {
    return decayed_sum * std::numbers::ln2 / to_ms(half_life);
}

void add(state::model_work& sum, const state::model_work& work, bool has_demand) {
    sum.groups += work.groups;
    if (!has_demand) {
        return;
    }
    for (std::size_t i = 0; i < sum.demand.size(); ++i) {
        sum.demand.at(i) += work.demand.at(i);
    }
}

} // namespace

work_meter::average work_meter::decayed(average value, state::time_point now) {
    const double age = to_ms(now - value.at);
    value.work_ms *= std::exp2(-age / to_ms(half_life));
    for (double& amount : value.demand_ms) {
        amount *= std::exp2(-age / to_ms(demand_half_life));
    }
    value.at = now;
    return value;
}

void work_meter::note(const std::string& model, state::call_urgency urgency, double work_ms,
                      state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    auto& value = m_own[model];
    value = decayed(value, now);
    value.work_ms += work_ms;
    state::amount_of(value.demand_ms, urgency) += work_ms;
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
        const auto current = decayed(value, now);
        state::model_work entry{model, rate_of(current.work_ms, half_life), {}};
        for (std::size_t i = 0; i < entry.demand.size(); ++i) {
            entry.demand.at(i) = rate_of(current.demand_ms.at(i), demand_half_life);
        }
        work.push_back(std::move(entry));
    }
    return work;
}

std::vector<state::model_work> work_meter::report(state::digest_scope scope,
                                                  state::time_point now) const {
    if (scope == state::digest_scope::member) {
        return own(now);
    }
    std::vector<state::model_work> work;
    for (auto& [model, entry] : sum(now, scope == state::digest_scope::hub)) {
        work.push_back(entry);
    }
    return work;
}

std::map<std::string, state::model_work> work_meter::sum(state::time_point now,
                                                         bool members_only) const {
    std::map<std::string, state::model_work> work;
    const auto count = [&](const state::model_work& entry, bool has_demand) {
        auto& total = work[entry.model];
        total.model = entry.model;
        add(total, entry, has_demand);
    };
    for (const auto& entry : own(now)) {
        count(entry, true);
    }
    const std::scoped_lock lock(m_mutex);
    for (const auto& [peer, reported] : m_peers) {
        if (now - reported.at > peer_work_age ||
            (members_only && reported.scope != state::digest_scope::member)) {
            continue;
        }
        for (const auto& entry : reported.work) {
            count(entry, now - reported.at <= peer_demand_age);
        }
    }
    return work;
}

std::map<std::string, double> work_meter::all(state::time_point now) const {
    std::map<std::string, double> groups;
    for (const auto& [model, entry] : sum(now, false)) {
        groups[model] = entry.groups;
    }
    return groups;
}

state::urgency_amounts work_meter::demand(const std::string& model, state::time_point now) const {
    const auto work = sum(now, false);
    const auto found = work.find(model);
    return found == work.end() ? state::urgency_amounts{} : found->second.demand;
}

} // namespace savoryrelay::coordination
