// Counts the endpoints that were not reached since one was, and while cut off those that were.
#include "savoryrelay/coordination/reach/endpoint_reach.h"

#include <algorithm>
#include <utility>

namespace savoryrelay::coordination {

endpoint_reach::endpoint_reach(std::function<std::uint64_t()> random)
    : m_random(std::move(random)) {}

void endpoint_reach::note_reached(const state::endpoint_id& endpoint, std::size_t known,
                                  state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    m_unreached.clear();
    m_reached_at = now;
    if (m_is_cut_off) {
        forget_old_evidence(now);
        std::erase_if(m_reached,
                      [&](const tried_endpoint& earlier) { return earlier.id == endpoint; });
        m_reached.push_back({endpoint, now});
        if (m_reached.size() < std::min(min_reached, known)) {
            m_probed_at.reset();
            return;
        }
        m_is_cut_off = false;
        m_reached.clear();
    }
    m_doubt_at.reset();
}

void endpoint_reach::note_unreached(const state::endpoint_id& endpoint, std::size_t known,
                                    state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    forget_old_evidence(now);
    std::erase_if(m_unreached,
                  [&](const tried_endpoint& earlier) { return earlier.id == endpoint; });
    const bool is_first = m_unreached.empty();
    m_unreached.push_back({endpoint, now});
    m_doubt_at = now;
    const auto needed = std::max<std::size_t>(1, std::min(min_unreached, known));
    if (m_unreached.size() >= needed) {
        m_is_cut_off = true;
    } else if (is_first) {
        m_probed_at.reset();
    }
}

void endpoint_reach::forget_old_evidence(state::time_point now) {
    const auto is_old = [&](const tried_endpoint& tried) { return now - tried.at > evidence_age; };
    std::erase_if(m_unreached, is_old);
    std::erase_if(m_reached, is_old);
}

bool endpoint_reach::contains(const std::vector<tried_endpoint>& tried,
                              const state::endpoint_id& id) {
    return std::any_of(tried.begin(), tried.end(),
                       [&](const tried_endpoint& known) { return known.id == id; });
}

bool endpoint_reach::is_in_doubt(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return m_is_cut_off || (m_doubt_at && now - *m_doubt_at <= evidence_age);
}

void endpoint_reach::note_doubt(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    if (!m_reached_at || now - *m_reached_at >= trust_time) {
        m_doubt_at = now;
    }
}

bool endpoint_reach::is_cut_off() const {
    const std::scoped_lock lock(m_mutex);
    return m_is_cut_off;
}

void endpoint_reach::pick(std::vector<state::endpoint_id>& candidates, std::size_t count) const {
    count = std::min(count, candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto offset = static_cast<std::size_t>(m_random() % (candidates.size() - i));
        std::swap(candidates[i], candidates[i + offset]);
    }
    candidates.resize(count);
}

std::vector<state::endpoint_id>
endpoint_reach::choose(std::vector<state::endpoint_id> candidates) const {
    const std::scoped_lock lock(m_mutex);
    pick(candidates, min_unreached);
    return candidates;
}

bool endpoint_reach::is_probe_due(state::time_point now) const {
    const bool is_in_doubt = m_doubt_at && now - *m_doubt_at <= evidence_age;
    return (is_in_doubt || m_is_cut_off) && (!m_probed_at || now - *m_probed_at >= probe_interval);
}

bool endpoint_reach::has_due_probes(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return is_probe_due(now);
}

std::vector<state::endpoint_id>
endpoint_reach::due_probes(std::vector<state::endpoint_id> candidates, state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    if (!is_probe_due(now)) {
        return {};
    }
    m_probed_at = now;
    forget_old_evidence(now);
    std::erase_if(candidates, [&](const state::endpoint_id& id) {
        return contains(m_reached, id) || (!m_is_cut_off && contains(m_unreached, id));
    });
    const auto in_doubt = m_unreached.empty() ? 1 : probes_in_doubt;
    pick(candidates, m_is_cut_off ? probes_when_cut_off : in_doubt);
    return candidates;
}

} // namespace savoryrelay::coordination
