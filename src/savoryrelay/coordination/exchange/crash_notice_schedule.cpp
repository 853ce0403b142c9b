// Keeps each notice with the time at which it was added.
#include "savoryrelay/coordination/exchange/crash_notice_schedule.h"

#include <algorithm>
#include <iterator>

namespace savoryrelay::coordination {
namespace {

bool is_crash_of_call(const state::crash_notice& notice) {
    return notice.kind == state::crash_notice_kind::crashed && notice.position == 0;
}

} // namespace

void crash_notice_schedule::add(const state::crash_notice& notice, state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    drop_expired(now);
    const bool is_known =
        std::any_of(m_notices.begin(), m_notices.end(), [&](const scheduled_notice& each) {
            return each.notice.kind == notice.kind &&
                   each.notice.fingerprint == notice.fingerprint &&
                   each.notice.crash == notice.crash;
        });
    if (is_known) {
        return;
    }
    if (m_notices.size() >= max_notices) {
        const auto dropped =
            std::find_if(m_notices.rbegin(), m_notices.rend(), [](const scheduled_notice& each) {
                return is_crash_of_call(each.notice);
            });
        if (is_crash_of_call(notice) || dropped == m_notices.rend()) {
            return;
        }
        m_notices.erase(std::next(dropped).base());
    }
    m_notices.push_back({notice, now});
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
