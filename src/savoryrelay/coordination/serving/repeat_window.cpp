// Keeps sliding windows of calls and repeats.
#include "savoryrelay/coordination/serving/repeat_window.h"

#include <algorithm>

namespace savoryrelay::coordination {

void repeat_window::remove_expired(counts& value, state::time_point now) const {
    for (auto* times : {&value.calls, &value.repeats}) {
        while (!times->empty() && now - times->front() >= m_limit.window) {
            times->pop_front();
        }
    }
}

void repeat_window::note_call(const std::string& service, state::time_point now) {
    m_services.update(service, [&](counts& value) {
        remove_expired(value, now);
        value.calls.push_back(now);
    });
}

bool repeat_window::take(const std::string& service, state::time_point now) {
    const double hosts =
        static_cast<double>(std::max<std::size_t>(1, m_hosts.load(std::memory_order_relaxed)));
    return m_services.update(service, [&](counts& value) {
        remove_expired(value, now);
        const double max_repeats =
            usable_share *
            (m_limit.ratio * static_cast<double>(value.calls.size()) + m_limit.burst / hosts);
        if (static_cast<double>(value.repeats.size()) + 1 > max_repeats) {
            return false;
        }
        value.repeats.push_back(now);
        return true;
    });
}

} // namespace savoryrelay::coordination
