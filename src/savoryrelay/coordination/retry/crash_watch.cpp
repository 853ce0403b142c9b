// Connects the suspects of a host with the notices that it exchanges.
#include "savoryrelay/coordination/retry/crash_watch.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <string>

namespace savoryrelay::coordination {

using state::crash_notice;
using state::crash_notice_kind;
using state::milliseconds;

namespace {

constexpr milliseconds max_end_delay{5 * 60'000};

// Returns fingerprints in the order of `fingerprints_of` with their positions.
std::vector<call_fingerprint> with_positions(const std::vector<request_fingerprint>& fingerprints) {
    constexpr std::size_t last_position = std::numeric_limits<std::uint8_t>::max();
    std::vector<call_fingerprint> all;
    for (std::size_t i = 0; i < fingerprints.size(); ++i) {
        const bool is_part = i + 1 < fingerprints.size();
        const auto position = is_part ? std::min(i + 1, last_position) : 0;
        all.push_back({fingerprints[i], static_cast<std::uint8_t>(position)});
    }
    return all;
}

milliseconds age_of(state::time_point at, state::time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - at);
}

} // namespace

std::string to_text(request_fingerprint fingerprint) {
    std::array<std::uint8_t, sizeof(fingerprint)> bytes{};
    for (auto byte = bytes.rbegin(); byte != bytes.rend(); ++byte) {
        *byte = static_cast<std::uint8_t>(fingerprint);
        fingerprint >>= 8U;
    }
    return state::to_hex(bytes.data(), bytes.size());
}

crash_settings entry_host_crash_settings() {
    crash_settings settings;
    settings.crashes_if_sole_suspect = settings.max_crashes;
    settings.max_crashes_after_answer = 6;
    settings.min_span = milliseconds(300);
    settings.answer_validity = milliseconds(10'000);
    settings.probation = std::chrono::hours(24);
    settings.trial_interval = milliseconds(10'000);
    return settings;
}

milliseconds quarantine_end_delay(std::string_view host_name) {
    return milliseconds(state::stable_hash(host_name) %
                        static_cast<std::uint64_t>(max_end_delay.count()));
}

std::vector<request_fingerprint> fingerprints_of(const state::serving_call& call,
                                                 const std::string& customer,
                                                 std::string_view body) {
    std::vector<request_fingerprint> all;
    for (const auto& part : call.shared_prompt_parts) {
        all.push_back(state::stable_hash("part " + part));
    }
    std::string content = "call " + customer;
    content.push_back('\0');
    content += call.host + call.path;
    content.push_back('\0');
    content.append(body);
    all.push_back(state::stable_hash(content));
    return all;
}

void crash_watch::record_crash(const state::endpoint_id& endpoint, std::uint64_t started_ms,
                               const std::vector<request_fingerprint>& fingerprints,
                               state::time_point now) {
    // An incarnation of an endpoint crashes once, however many of its connections end.
    const auto crash = state::stable_hash(endpoint.value() + '#' + std::to_string(started_ms));
    record_evidence(crash, with_positions(fingerprints), now, now);
}

void crash_watch::record_evidence(std::uint64_t crash, std::vector<call_fingerprint> fingerprints,
                                  state::time_point at, state::time_point now) {
    for (const auto& each : m_suspects.record_crash(crash, std::move(fingerprints), at)) {
        // Peers that do not know of the answer would quarantine the fingerprint too early.
        announce_answer(each.value, now);
        m_notices.add(
            {crash_notice_kind::crashed, each.value, crash, age_of(at, now), each.position}, now);
    }
}

void crash_watch::announce_answer(request_fingerprint fingerprint, state::time_point now) {
    if (const auto answered_at = m_suspects.last_answer(fingerprint)) {
        m_notices.add({crash_notice_kind::answered, fingerprint, 0, age_of(*answered_at, now)},
                      now);
    }
}

void crash_watch::record_answer(const std::vector<request_fingerprint>& fingerprints,
                                state::time_point now) {
    for (const auto fingerprint : fingerprints) {
        if (m_suspects.record_answer(fingerprint, now)) {
            m_notices.add({crash_notice_kind::answered, fingerprint, 0, milliseconds(0)}, now);
        }
    }
}

void crash_watch::apply(const crash_notice& notice, state::time_point now) {
    const bool is_expiring =
        notice.kind == crash_notice_kind::quarantined && notice.age + expiry_margin > m_retention;
    if (notice.age > m_retention || is_expiring) {
        return;
    }
    const auto at = now - notice.age;
    if (notice.kind == crash_notice_kind::answered) {
        if (m_suspects.record_answer(notice.fingerprint, at)) {
            m_notices.add(notice, now);
        }
        return;
    }
    const quarantined_fingerprint reported{{notice.fingerprint, notice.position}, at, notice.crash};
    if (notice.kind == crash_notice_kind::released) {
        if (m_suspects.record_explanation(reported)) {
            m_notices.add(notice, now);
        }
        return;
    }
    // The peer may not know of an answer that this host has seen.
    announce_answer(notice.fingerprint, now);
    if (m_suspects.valid_answer(notice.fingerprint, at)) {
        return;
    }
    if (notice.kind == crash_notice_kind::crashed) {
        record_evidence(notice.crash, {{notice.fingerprint, notice.position}}, at, now);
    } else if (m_suspects.quarantine(reported)) {
        m_notices.add(notice, now);
    } else if (const auto explained = m_suspects.find_explanation(reported)) {
        m_notices.add({crash_notice_kind::released, notice.fingerprint, explained->crashes,
                       age_of(explained->last_crash, now), explained->fingerprint.position},
                      now);
    }
}

std::optional<milliseconds>
crash_watch::accept(const std::vector<request_fingerprint>& fingerprints, state::time_point now) {
    auto time_left = time_quarantined(fingerprints, now);
    for (const auto fingerprint : fingerprints) {
        if (time_left) {
            break;
        }
        if (const auto next = m_suspects.begin_trial(fingerprint, now)) {
            time_left = age_of(now, *next);
        }
    }
    return time_left;
}

bool crash_watch::is_quarantined(const std::vector<request_fingerprint>& fingerprints,
                                 state::time_point now) const {
    return std::any_of(fingerprints.begin(), fingerprints.end(), [&](request_fingerprint each) {
        return m_suspects.is_quarantined(each, now);
    });
}

std::optional<milliseconds>
crash_watch::time_quarantined(const std::vector<request_fingerprint>& fingerprints,
                              state::time_point now) const {
    std::optional<milliseconds> longest;
    for (const auto fingerprint : fingerprints) {
        if (const auto until = m_suspects.quarantined_until(fingerprint); until && *until > now) {
            longest = std::max(longest.value_or(milliseconds(0)), age_of(now, *until));
        }
    }
    return longest;
}

std::vector<crash_notice> crash_watch::due_notices(state::time_point now) {
    bool refreshes = false;
    {
        const std::scoped_lock lock(m_mutex);
        refreshes = now - m_refreshed_at >= refresh_interval;
        if (refreshes) {
            m_refreshed_at = now;
        }
    }
    auto due = m_notices.due(now);
    if (refreshes) {
        m_suspects.sweep(now);
        for (const auto& each : m_suspects.quarantined()) {
            due.push_back({crash_notice_kind::quarantined, each.fingerprint.value, each.crashes,
                           age_of(each.last_crash, now), each.fingerprint.position});
        }
    }
    return due;
}

} // namespace savoryrelay::coordination
