// Counts crashes by request fingerprint and decides on the quarantine.
#include "savoryrelay/coordination/retry/crash_suspects.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <string>
#include <utility>

namespace savoryrelay::coordination {

request_fingerprint fingerprint_of(const state::customer_id& customer, std::string_view body) {
    std::string content = customer.value();
    content.push_back('\0');
    content.append(body);
    return state::stable_hash(content);
}

crash_hooks default_crash_hooks() {
    return {[](const crash_settings& settings, const crash_evidence& seen) {
        return (seen.crashes >= settings.crashes_if_sole_suspect && seen.other_suspects == 0) ||
               seen.crashes >= settings.max_crashes;
    }};
}

crash_suspects::crash_suspects(crash_settings settings, crash_hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {}

void crash_suspects::record_crash(const endpoint_crash& crash, state::time_point now) {
    const auto crash_digest =
        state::stable_hash(crash.endpoint.value() + '#' + std::to_string(crash.generation));
    auto fingerprints = crash.in_flight;
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());

    // Counts the requests that were suspects before this crash.
    const auto was_suspect = [&](request_fingerprint fingerprint) {
        const auto row = m_suspects.find(fingerprint);
        return row && std::any_of(row->crashes.begin(), row->crashes.end(),
                                  [&](std::uint64_t known) { return known != crash_digest; });
    };
    const auto earlier_suspects = static_cast<std::size_t>(
        std::count_if(fingerprints.begin(), fingerprints.end(), was_suspect));
    const bool has_capacity = m_suspects.size() < m_settings.max_suspects;

    for (const auto fingerprint : fingerprints) {
        if (!has_capacity && !is_suspect(fingerprint)) {
            continue;
        }
        const std::size_t other_suspects = earlier_suspects - (was_suspect(fingerprint) ? 1 : 0);
        const auto crashes = m_suspects.update(fingerprint, [&](suspect_row& row) {
            const bool is_known = std::find(row.crashes.begin(), row.crashes.end(), crash_digest) !=
                                  row.crashes.end();
            if (!is_known && row.crashes.size() < m_settings.max_crashes) {
                row.crashes.push_back(crash_digest);
            }
            row.last_crash = now;
            return row.crashes.size();
        });
        // The hook runs outside the shard's lock.
        if (m_hooks.is_quarantined(m_settings, {crashes, other_suspects})) {
            m_suspects.update_existing(fingerprint,
                                       [](suspect_row& row) { row.is_quarantined = true; });
        }
    }
    m_reserved.erase(crash.endpoint);
}

state::result<void> crash_suspects::check(request_fingerprint fingerprint) const {
    const auto row = m_suspects.find(fingerprint);
    if (row && row->is_quarantined) {
        return state::fail(state::failure_kind::request_quarantined,
                           "endpoints that ran this request have crashed");
    }
    return {};
}

bool crash_suspects::is_suspect(request_fingerprint fingerprint) const {
    return m_suspects.find(fingerprint).has_value();
}

bool crash_suspects::reserve(const state::endpoint_id& endpoint, request_fingerprint suspect) {
    return m_reserved.insert(endpoint, suspect) || m_reserved.find(endpoint) == suspect;
}

void crash_suspects::release(const state::endpoint_id& endpoint, request_fingerprint suspect) {
    m_reserved.extract_if(endpoint, [&](request_fingerprint holder) { return holder == suspect; });
}

void crash_suspects::sweep(state::time_point now) {
    m_suspects.erase_if([&](request_fingerprint, const suspect_row& row) {
        return now - row.last_crash > m_settings.retention;
    });
}

} // namespace savoryrelay::coordination
