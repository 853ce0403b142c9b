// Counts crashes by request fingerprint and decides on the quarantine.
#include "savoryrelay/coordination/retry/crash_suspects.h"

#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

namespace savoryrelay::coordination {
namespace {

// Further crashes of a fingerprint only extend the time that its crashes span.
constexpr std::size_t max_known_crashes = 256;

// The ages in notices lack the time of their transfer, so that the same crash appears later to
// each host that passes it on.
constexpr state::milliseconds max_transfer_time{5'000};

// Returns whether crashes that others explain include those of a quarantine.
bool covers(const quarantined_fingerprint& explained, const quarantined_fingerprint& quarantine) {
    return quarantine.crashes <= explained.crashes &&
           quarantine.last_crash <= explained.last_crash + max_transfer_time;
}

} // namespace

request_fingerprint fingerprint_of(const state::customer_id& customer, std::string_view body) {
    std::string content = customer.value();
    content.push_back('\0');
    content.append(body);
    return state::stable_hash(content);
}

crash_hooks default_crash_hooks() {
    return {[](const crash_settings& settings, const crash_evidence& seen) {
        if (seen.span < settings.min_span) {
            return false;
        }
        if (seen.was_answered) {
            return seen.crashes >= settings.max_crashes_after_answer;
        }
        return (seen.crashes >= settings.crashes_if_sole_suspect && seen.other_suspects == 0) ||
               seen.crashes >= settings.max_crashes;
    }};
}

crash_suspects::crash_suspects(crash_settings settings, crash_hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {}

void crash_suspects::record_crash(const endpoint_crash& crash, state::time_point now) {
    std::vector<call_fingerprint> fingerprints;
    for (const auto fingerprint : crash.in_flight) {
        fingerprints.push_back({fingerprint});
    }
    record_crash(
        state::stable_hash(crash.endpoint.value() + '#' + std::to_string(crash.generation)),
        std::move(fingerprints), now);
    m_reserved.erase(crash.endpoint);
}

std::vector<call_fingerprint>
crash_suspects::record_crash(std::uint64_t crash, std::vector<call_fingerprint> fingerprints,
                             state::time_point at) {
    const auto order = [](const call_fingerprint& each) {
        return std::pair(-int{each.position}, each.value);
    };
    std::sort(fingerprints.begin(), fingerprints.end(),
              [&](const auto& a, const auto& b) { return order(a) < order(b); });
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    std::erase_if(fingerprints, [&](const call_fingerprint& fingerprint) {
        return valid_answer(fingerprint.value, at).has_value();
    });

    // Counts the requests that were suspects before this crash.
    const auto was_suspect = [&](const call_fingerprint& fingerprint) {
        const auto row = m_suspects.find(fingerprint.value);
        return row && std::any_of(row->crashes.begin(), row->crashes.end(),
                                  [&](std::uint64_t known) { return known != crash; });
    };
    const auto earlier_suspects = static_cast<std::size_t>(
        std::count_if(fingerprints.begin(), fingerprints.end(), was_suspect));
    const bool has_capacity = m_suspects.size() < m_settings.max_suspects;

    std::vector<call_fingerprint> changed;
    for (const auto& fingerprint : fingerprints) {
        if (!has_capacity && !is_suspect(fingerprint.value)) {
            continue;
        }
        const auto other_suspects = earlier_suspects - (was_suspect(fingerprint) ? 1 : 0);
        const auto known = m_suspects.update(fingerprint.value, [&](suspect_row& row) {
            row.position = std::max(row.position, fingerprint.position);
            const bool is_known =
                std::find(row.crashes.begin(), row.crashes.end(), crash) != row.crashes.end();
            // Notices may arrive in another order than the crashes.
            row.first_crash = row.crashes.empty() ? at : std::min(row.first_crash, at);
            if (!is_known) {
                row.last_crash = std::max(row.last_crash, at);
            }
            if (!is_known && row.crashes.size() < max_known_crashes) {
                row.crashes.push_back(crash);
                changed.push_back(fingerprint);
            }
            return row;
        });
        auto evidence = evidence_of(fingerprint.value, known);
        evidence.other_suspects = other_suspects;
        // The hook runs outside the shard's lock.
        const bool repeats = known.is_on_probation && evidence.crashes > 0;
        if (repeats || m_hooks.is_quarantined(m_settings, evidence)) {
            set_quarantined(fingerprint.value);
            release_explained();
        }
    }
    return changed;
}

crash_evidence crash_suspects::evidence_of(request_fingerprint fingerprint,
                                           const suspect_row& suspect) const {
    crash_evidence evidence;
    evidence.crashes = unexplained_crashes(fingerprint, suspect);
    evidence.span =
        std::chrono::duration_cast<state::milliseconds>(suspect.last_crash - suspect.first_crash);
    evidence.was_answered = last_answer(fingerprint).has_value();
    return evidence;
}

std::size_t crash_suspects::unexplained_crashes(request_fingerprint fingerprint,
                                                const suspect_row& suspect) const {
    if (suspect.crashes.size() < m_settings.crashes_if_sole_suspect) {
        return suspect.crashes.size(); // too few in any case
    }
    std::vector<std::pair<request_fingerprint, suspect_row>> others;
    m_suspects.for_each([&](request_fingerprint other, const suspect_row& row) {
        if (other != fingerprint && row.is_quarantined) {
            others.emplace_back(other, row);
        }
    });
    const bool was_answered = last_answer(fingerprint).has_value();
    const auto contains = [](const std::vector<std::uint64_t>& crashes, std::uint64_t crash) {
        return std::find(crashes.begin(), crashes.end(), crash) != crashes.end();
    };
    const auto explains_all = [&](const std::vector<std::uint64_t>& crashes) {
        return std::all_of(suspect.crashes.begin(), suspect.crashes.end(),
                           [&](std::uint64_t each) { return contains(crashes, each); });
    };
    std::set<std::uint64_t> explained;
    for (const auto& [other, row] : others) {
        if (row.crashes.size() > suspect.crashes.size() ||
            (was_answered && !last_answer(other) && explains_all(row.crashes))) {
            explained.insert(row.crashes.begin(), row.crashes.end());
        }
    }
    const auto count_without = [&](const std::vector<std::uint64_t>& crashes) {
        return static_cast<std::size_t>(
            std::count_if(suspect.crashes.begin(), suspect.crashes.end(), [&](std::uint64_t each) {
                return !explained.contains(each) && !contains(crashes, each);
            }));
    };
    auto fewest = count_without({});
    for (const auto& [other, row] : others) {
        if (suspect.position > 0 && row.position > suspect.position) {
            fewest = std::min(fewest, count_without(row.crashes));
        }
    }
    return fewest;
}

void crash_suspects::release_explained() {
    for (const auto& each : quarantined()) {
        const auto fingerprint = each.fingerprint.value;
        const auto row = m_suspects.find(fingerprint);
        if (row && !row->crashes.empty() && unexplained_crashes(fingerprint, *row) == 0) {
            m_suspects.update_existing(
                fingerprint, [](suspect_row& changed) { changed.is_quarantined = false; });
        }
    }
}

bool crash_suspects::set_quarantined(request_fingerprint fingerprint) {
    bool is_new = false;
    m_suspects.update_existing(fingerprint, [&](suspect_row& row) {
        row.is_on_probation = false;
        is_new = !std::exchange(row.is_quarantined, true);
    });
    if (is_new && m_hooks.on_quarantined) {
        m_hooks.on_quarantined(fingerprint);
    }
    return is_new;
}

bool crash_suspects::record_answer(request_fingerprint fingerprint, state::time_point at) {
    bool is_first = false;
    if (m_settings.answer_validity.count() > 0) {
        is_first = m_answered.update(fingerprint, [&](answer_row& row) {
            row.is_repeated = row.last != state::time_point{};
            row.last = std::max(row.last, at);
            return !row.is_repeated;
        });
    }
    if (m_suspects.extract_if(fingerprint, [&](const suspect_row& row) {
            return at + m_settings.answer_validity >= row.last_crash;
        })) {
        return true;
    }
    // The crashes were counted as those of a fingerprint without an answer.
    const bool is_suspect = m_suspects.update_existing(fingerprint, [&](suspect_row& row) {
        row.is_quarantined =
            row.is_quarantined && row.crashes.size() >= m_settings.max_crashes_after_answer;
    });
    return is_suspect && is_first;
}

std::optional<state::time_point>
crash_suspects::last_answer(request_fingerprint fingerprint) const {
    const auto answered = m_answered.find(fingerprint);
    return answered ? std::optional(answered->last) : std::nullopt;
}

std::optional<state::time_point> crash_suspects::valid_answer(request_fingerprint fingerprint,
                                                              state::time_point crashed_at) const {
    const auto answered = last_answer(fingerprint);
    if (!answered || *answered + m_settings.answer_validity < crashed_at) {
        return std::nullopt;
    }
    return answered;
}

bool crash_suspects::quarantine(const quarantined_fingerprint& reported) {
    const auto fingerprint = reported.fingerprint.value;
    if (valid_answer(fingerprint, reported.last_crash) ||
        (m_suspects.size() >= m_settings.max_suspects && !is_suspect(fingerprint))) {
        return false;
    }
    const auto known = m_suspects.find(fingerprint);
    if (known && known->is_quarantined) {
        return false; // the age in a notice lacks the time of its transfer
    }
    const auto crashes = std::max(known ? known->crashes.size() : 0, reported.crashes);
    if (last_answer(fingerprint) && crashes < m_settings.max_crashes_after_answer) {
        return false;
    }
    if (known && !known->crashes.empty() && unexplained_crashes(fingerprint, *known) == 0) {
        return false;
    }
    if (find_explanation(reported)) {
        return false;
    }
    m_suspects.update(fingerprint, [&](suspect_row& row) {
        row.last_crash = std::max(row.last_crash, reported.last_crash);
        row.reported_crashes = std::max(row.reported_crashes, reported.crashes);
        row.position = std::max(row.position, reported.fingerprint.position);
    });
    return set_quarantined(fingerprint);
}

std::optional<quarantined_fingerprint>
crash_suspects::find_explanation(const quarantined_fingerprint& reported) const {
    const auto fingerprint = reported.fingerprint.value;
    const auto row = m_suspects.find(fingerprint);
    if (!row || row->is_quarantined) {
        return std::nullopt;
    }
    const quarantined_fingerprint known_here{
        {fingerprint, row->position}, row->last_crash, row->crashes.size()};
    if (covers(known_here, reported) && unexplained_crashes(fingerprint, *row) == 0) {
        return known_here;
    }
    const quarantined_fingerprint known_to_peer{
        {fingerprint, row->position}, row->explained_until, row->explained_crashes};
    return covers(known_to_peer, reported) ? std::optional(known_to_peer) : std::nullopt;
}

bool crash_suspects::record_explanation(const quarantined_fingerprint& explained) {
    const auto fingerprint = explained.fingerprint.value;
    if (m_suspects.size() >= m_settings.max_suspects && !is_suspect(fingerprint)) {
        return false;
    }
    const auto known = m_suspects.find(fingerprint).value_or(suspect_row{});
    const bool is_quarantined_here =
        known.is_quarantined && m_hooks.is_quarantined(m_settings, evidence_of(fingerprint, known));
    bool is_new = false;
    m_suspects.update(fingerprint, [&](suspect_row& row) {
        const quarantined_fingerprint reported{
            {fingerprint, row.position}, row.last_crash, row.reported_crashes};
        if (row.is_quarantined && !is_quarantined_here &&
            row.crashes.size() == known.crashes.size() && covers(explained, reported)) {
            row.is_quarantined = false;
            is_new = true;
        }
        if (explained.crashes > row.explained_crashes ||
            explained.last_crash > row.explained_until + max_transfer_time) {
            row.explained_crashes = explained.crashes;
            row.explained_until = explained.last_crash;
            is_new = true;
        }
    });
    return is_new;
}

bool crash_suspects::is_quarantined(request_fingerprint fingerprint, state::time_point now) const {
    const auto row = m_suspects.find(fingerprint);
    return row && row->is_quarantined &&
           row->last_crash + m_settings.retention + m_settings.end_delay > now;
}

std::optional<state::time_point>
crash_suspects::quarantined_until(request_fingerprint fingerprint) const {
    const auto row = m_suspects.find(fingerprint);
    if (row && row->is_quarantined) {
        return std::max(row->trial_until,
                        row->last_crash + m_settings.retention + m_settings.end_delay);
    }
    return row && row->is_on_probation ? std::optional(row->trial_until) : std::nullopt;
}

std::optional<state::time_point> crash_suspects::begin_trial(request_fingerprint fingerprint,
                                                             state::time_point now) {
    std::optional<state::time_point> next;
    m_suspects.update_existing(fingerprint, [&](suspect_row& row) {
        if (!row.is_quarantined && !row.is_on_probation) {
            return;
        }
        const auto end = row.last_crash + m_settings.retention + m_settings.end_delay;
        if (row.is_quarantined && end > now) {
            next = end;
        } else if (row.trial_until > now) {
            next = row.trial_until;
        } else {
            row.trial_until = now + m_settings.trial_interval;
        }
    });
    return next;
}

std::vector<quarantined_fingerprint> crash_suspects::quarantined() const {
    std::vector<quarantined_fingerprint> all;
    m_suspects.for_each([&](request_fingerprint fingerprint, const suspect_row& row) {
        if (row.is_quarantined) {
            all.push_back({{fingerprint, row.position},
                           row.last_crash,
                           std::max(row.crashes.size(), row.reported_crashes)});
        }
    });
    return all;
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
    const bool is_full =
        m_settings.answer_validity.count() > 0 && m_suspects.size() >= m_settings.max_suspects;
    for (const auto& each : quarantined()) {
        if (now - each.last_crash > m_settings.retention + m_settings.end_delay) {
            m_suspects.update_existing(each.fingerprint.value, [](suspect_row& row) {
                row.is_quarantined = false;
                row.is_on_probation = true;
            });
        }
    }
    m_suspects.erase_if([&](request_fingerprint, const suspect_row& row) {
        if (row.is_quarantined) {
            return false;
        }
        if (row.is_on_probation) {
            return now - row.last_crash > m_settings.retention + m_settings.probation;
        }
        const bool is_weak = row.crashes.size() < 2;
        return now - std::max(row.last_crash, row.explained_until) >
               (is_full && is_weak ? m_settings.answer_validity : m_settings.retention);
    });
    const auto remove_answers = [&](bool with_repeated) {
        const bool has_too_many = m_answered.size() > m_settings.max_suspects;
        m_answered.erase_if([&](request_fingerprint, const answer_row& row) {
            return now - row.last > (has_too_many && (with_repeated || !row.is_repeated)
                                         ? m_settings.answer_validity
                                         : m_settings.retention);
        });
    };
    remove_answers(false);
    remove_answers(true);
}

} // namespace savoryrelay::coordination
