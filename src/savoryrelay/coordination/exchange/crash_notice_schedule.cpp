// Keeps each notice with the time at which it was added.
#include "savoryrelay/coordination/exchange/crash_notice_schedule.h"

#include <algorithm>

namespace savoryrelay::coordination {

void crash_notice_schedule::add(const state::crash_notice& notice, state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    drop_expired(now);
    const bool is_known =
        std::any_of(m_notices.begin(), m_notices.end(), [&](const scheduled_notice& each) {
            return each.notice.kind == notice.kind &&
                   each.notice.fingerprint == notice.fingerprint &&
                   each.notice.crash == notice.crash;
        });
    if (!is_known && m_notices.size() < max_notices) {
        m_notices.push_back({notice, now});
    }
}

std::vector<state::crash_notice> crash_notice_schedule::due(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    drop_expired(now);
    std::vector<state::crash_notice> notices;
    notices.reserve(m_notices.size());
    for (const auto& each : m_notices) {
        auto notice = each.notice;
        notice.age += std::chrono::duration_cast<state::milliseconds>(now - each.added_at);
        notices.push_back(notice);
    }
    return notices;
}

void crash_notice_schedule::drop_expired(state::time_point now) {
    std::erase_if(m_notices, [&](const scheduled_notice& each) {
        return now - each.added_at >= repeated_for;
    });
}

} // namespace savoryrelay::coordination
