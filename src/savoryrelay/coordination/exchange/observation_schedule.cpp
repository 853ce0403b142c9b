// Compares each observation with the one that was sent last.
#include "savoryrelay/coordination/exchange/observation_schedule.h"

#include <set>

namespace savoryrelay::coordination {

std::vector<state::runner_observation>
observation_schedule::take_due(std::vector<state::runner_observation> all, state::time_point now) {
    std::set<state::endpoint_id> listed;
    std::vector<state::runner_observation> due;
    for (auto& observation : all) {
        listed.insert(observation.id);
        auto [known, is_new] = m_sent.try_emplace(observation.id);
        auto& sent = known->second;
        if (is_new || !(sent.observation == observation)) {
            sent.observation = observation;
            sent.changed_at = now;
        }
        if (is_new || now - sent.changed_at < repeated_for ||
            now - sent.sent_at >= refresh_interval) {
            sent.sent_at = now;
            due.push_back(std::move(observation));
        }
    }
    std::erase_if(m_sent, [&](const auto& entry) { return !listed.contains(entry.first); });
    return due;
}

} // namespace savoryrelay::coordination
