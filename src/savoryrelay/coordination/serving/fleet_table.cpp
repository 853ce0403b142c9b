// Merges the data that several sources give about a runner.
#include "savoryrelay/coordination/serving/fleet_table.h"

#include <algorithm>
#include <utility>

namespace savoryrelay::coordination {
namespace {

// Resets what belongs to the previous incarnation, because a restarted process
// has none of its state.
void begin_incarnation(runner_view& runner, std::uint64_t started_ms) {
    runner.record.started_ms = started_ms;
    runner.record.sequence = 0;
    runner.record.membership.reset();
    runner.record.model.clear();
    runner.silent_since.reset();
    runner.reported_at.reset();
    runner.own_report_at.reset();
    runner.exclusions.clear();
    runner.call_rate = {};
    runner.has_order_in_pause = false;
    runner.refusal_backoff = state::milliseconds(0);
    runner.is_misdirected = false;
    runner.is_order_in_progress = false;
    runner.awaits_report_since.reset();
    runner.time_factor = 1;
    runner.last_head_at.reset();
    runner.last_model.clear();
}

// A runner has its group's model loaded only after it has finished joining.
void update_last_model(runner_view& runner) {
    const auto& membership = runner.record.membership;
    if (membership && membership->state != state::membership_state::joining &&
        !runner.record.model.empty()) {
        runner.last_model = runner.record.model;
    }
}

bool is_forgotten(const runner_view& runner, state::time_point now) {
    const auto answered = runner.answered_at.value_or(state::time_point{});
    return !runner.has_entry && runner.unlisted_from &&
           now - *runner.unlisted_from > fleet_table::forget_after &&
           now - answered > fleet_table::forget_after;
}

// Returns whether the observation repeats what is known of a runner that answers.
bool is_known(const runner_view& runner, const state::runner_observation& observation) {
    const auto& record = runner.record;
    const auto membership = record.membership.value_or(state::group_membership{});
    return !runner.silent_since && record.started_ms == observation.started_ms &&
           record.sequence == observation.sequence && record.model == observation.model &&
           membership == observation.membership && runner.time_factor == observation.time_factor;
}

} // namespace

void fleet_table::apply_entry(const state::runner_record& entry, state::time_point now) {
    const auto departed = m_departures.find(entry.id);
    m_runners.update(entry.id, [&](runner_view& runner) {
        const bool is_new = runner.record.id.empty();
        if (!is_new && entry.started_ms < runner.record.started_ms) {
            return; // written by an earlier incarnation
        }
        if (!is_new && entry.started_ms > runner.record.started_ms) {
            begin_incarnation(runner, entry.started_ms);
        }
        runner.has_entry = true;
        runner.unlisted_from.reset();
        runner.cold_until = std::max(runner.cold_until, now + entry.cold_remaining);
        const auto known = runner.record;
        runner.record = entry;
        if (entry.is_draining) {
            runner.exclusions.add(exclusion_reason::draining, exclusion_source::entry, now,
                                  runner_exclusion::no_end);
        }
        if (is_new && departed && departed->started_ms == entry.started_ms) {
            runner.exclusions.add(exclusion_reason::leaving, exclusion_source::answer, now,
                                  runner_exclusion::no_end);
        }

        // Entries carry no sequence number of orders, and lag behind reports.
        runner.record.sequence = is_new ? 0 : known.sequence;
        const bool was_recently_reported =
            runner.reported_at && now - *runner.reported_at < runner_view::report_precedence;
        if (!is_new && was_recently_reported) {
            runner.record.membership = known.membership;
            runner.record.model = known.model;
            runner.record.staged = known.staged;
        }
        update_last_model(runner);
    });
    m_is_changed = true;
}

void fleet_table::apply_removal(const state::endpoint_id& id, state::time_point from) {
    m_runners.update_existing(id, [&](runner_view& runner) {
        if (runner.has_entry) {
            runner.has_entry = false;
            runner.unlisted_from = from;
        }
    });
    m_is_changed = true;
}

bool fleet_table::apply_report(const state::endpoint_id& id, const state::runner_report& report,
                               state::time_point now) {
    bool is_same_incarnation = true;
    m_runners.update_existing(id, [&](runner_view& runner) {
        // The address may belong to another runner by now. A new incarnation of
        // this runner is accepted only from its entry.
        const auto known_start = runner.record.started_ms;
        if (report.started_ms && known_start != 0 && *report.started_ms != known_start) {
            is_same_incarnation = false;
            return;
        }
        runner.answered_at = now;
        runner.silent_since.reset();
        runner.queued = report.queued;
        runner.active = report.active;
        runner.time_factor = report.time_factor;
        runner.cold_until = std::max(runner.cold_until, now + report.cold_remaining);

        // Reports lag. One with a lower sequence number was made before the runner
        // accepted the last order.
        const auto& awaited = runner.awaits_report_since;
        if (report.sequence.value_or(0) < runner.record.sequence &&
            !(awaited && now - *awaited > max_report_lag)) {
            return;
        }
        runner.reported_at = now;
        runner.own_report_at = now;
        runner.awaits_report_since.reset();
        runner.record.sequence = report.sequence.value_or(0);
        runner.record.membership = report.membership;
        runner.record.model = report.model.value_or(runner.record.model);
        runner.record.staged = report.staged.value_or(runner.record.staged);
        runner.is_order_in_progress = report.is_order_in_progress;
        update_last_model(runner);
    });
    m_is_changed = true;
    return is_same_incarnation;
}

void fleet_table::apply_observation(const state::runner_observation& observation,
                                    state::time_point now) {
    m_runners.update_existing(observation.id, [&](runner_view& runner) {
        if (observation.started_ms != runner.record.started_ms) {
            if (observation.started_ms < runner.record.started_ms) {
                return;
            }
            begin_incarnation(runner, observation.started_ms);
        }
        if (observation.is_silent) {
            if (!runner.silent_since) {
                m_is_changed = true;
                runner.silent_since = now;
            }
            return;
        }
        if (observation.sequence < runner.record.sequence) {
            return;
        }
        runner.reported_at = now;
        if (is_known(runner, observation)) {
            return;
        }
        m_is_changed = true;
        runner.silent_since.reset();
        runner.record.sequence = observation.sequence;
        runner.record.model = observation.model;
        runner.time_factor = observation.time_factor;
        if (observation.membership.group.empty()) {
            runner.record.membership.reset();
            if (!observation.model.empty()) {
                runner.last_model = observation.model;
            }
        } else {
            runner.record.membership = observation.membership;
        }
        update_last_model(runner);
    });
}

void fleet_table::note_order_accepted(const state::runner_order& order, state::time_point now) {
    m_runners.update_existing(order.runner, [&](runner_view& runner) {
        runner.answered_at = now;
        runner.silent_since.reset();
        if (runner.record.sequence > order.expected_sequence) {
            return; // a report or an observation that counts the order arrived before its answer
        }
        runner.record.sequence = order.expected_sequence + 1;
        runner.awaits_report_since = now;
        runner.is_effect_known = false;
        auto& membership = runner.record.membership;
        if (order.kind == state::runner_order_kind::leave) {
            membership.reset();
            runner.is_effect_known = true;
        } else if (order.kind == state::runner_order_kind::close_now && membership &&
                   membership->group == order.group) {
            membership->state = state::membership_state::ready;
            runner.is_effect_known = true;
        }
    });
    m_is_changed = true;
}

void fleet_table::note_silence(const state::endpoint_id& id, std::uint64_t started_ms,
                               state::time_point now) {
    m_runners.update_existing(id, [&](runner_view& runner) {
        if (runner.record.started_ms == started_ms && !runner.silent_since) {
            runner.silent_since = now;
        }
    });
    m_is_changed = true;
}

void fleet_table::note_answer(const state::endpoint_id& id, state::time_point now) {
    m_runners.update_existing(id, [&](runner_view& runner) {
        runner.answered_at = now;
        runner.refusal_backoff = state::milliseconds(0);
        runner.is_misdirected = false;
    });
}

void fleet_table::note_misdirected(const state::endpoint_id& id, state::time_point now) {
    bool is_repeated = false;
    m_runners.update_existing(
        id, [&](runner_view& runner) { is_repeated = std::exchange(runner.is_misdirected, true); });
    if (is_repeated) {
        note_refusal(id, now);
    }
}

void fleet_table::note_refusal(const state::endpoint_id& id, state::time_point now) {
    m_runners.update_existing(id, [&](runner_view& runner) {
        if (runner.exclusions.contains(exclusion_reason::not_serving, now) ||
            runner.exclusions.contains(exclusion_reason::call_failed, now)) {
            return; // the call was sent before the backoff began
        }
        if (runner.paused_until(now)) {
            return; // the runner has set the length of its pause itself
        }
        runner.refusal_backoff =
            std::clamp(2 * runner.refusal_backoff, min_refusal_backoff, max_refusal_backoff);
        runner.exclusions.add(exclusion_reason::not_serving, exclusion_source::call, now,
                              now + runner.refusal_backoff);
    });
    m_is_changed = true;
}

void fleet_table::note_peer_confirmation(const state::endpoint_id& id, state::time_point until) {
    m_runners.update_existing(id,
                              [&](runner_view& runner) { runner.peer_confirmed_until = until; });
    m_is_changed = true;
}

void fleet_table::avoid(const state::endpoint_id& id, state::time_point now,
                        state::time_point until) {
    m_runners.update_existing(id, [&](runner_view& runner) {
        runner.exclusions.add(exclusion_reason::call_failed, exclusion_source::call, now, until);
    });
    m_is_changed = true;
}

bool fleet_table::note_leaving(const state::endpoint_id& id, std::uint64_t started_ms,
                               exclusion_source source, state::time_point now) {
    bool is_new = false;
    m_runners.update_existing(id, [&](runner_view& runner) {
        is_new =
            runner.record.started_ms == started_ms &&
            runner.exclusions.add(exclusion_reason::leaving, source, now, runner_exclusion::no_end);
    });
    if (is_new) {
        m_is_changed = true;
    }
    return is_new;
}

bool fleet_table::note_pause(const state::endpoint_id& id, std::uint64_t started_ms,
                             state::time_point now, state::time_point until) {
    bool is_new = false;
    m_runners.update_existing(id, [&](runner_view& runner) {
        if (runner.record.started_ms != started_ms) {
            return;
        }
        is_new = runner.exclusions.add(exclusion_reason::pause_requested, exclusion_source::answer,
                                       now, until);
        runner.has_order_in_pause = runner.has_order_in_pause && !is_new;
        m_is_changed = true;
    });
    return is_new;
}

bool fleet_table::note_call_rate(const state::endpoint_id& id, std::uint64_t started_ms,
                                 std::optional<double> calls_per_s, exclusion_source source,
                                 state::time_point shown_at, state::time_point now) {
    bool is_changed = false;
    m_runners.update_existing(id, [&](runner_view& runner) {
        auto& known = runner.call_rate;
        if (runner.record.started_ms != started_ms || shown_at <= known.shown_at) {
            return;
        }
        known.shown_at = shown_at;
        if (known.calls_per_s != calls_per_s) {
            known.calls_per_s = calls_per_s;
            known.source = source;
            known.learned_at = now;
            is_changed = true;
        }
    });
    if (is_changed) {
        m_is_changed = true;
    }
    return is_changed;
}

std::vector<state::call_rate_notice> fleet_table::recent_call_rates(state::time_point now) const {
    std::vector<state::call_rate_notice> all;
    m_runners.for_each([&](const state::endpoint_id& id, const runner_view& runner) {
        const auto& known = runner.call_rate;
        if (known.learned_at != state::time_point{} &&
            now - known.learned_at < call_rate_announced_for &&
            all.size() < max_call_rates_announced) {
            all.push_back({id, runner.record.started_ms, known.calls_per_s,
                           std::chrono::duration_cast<state::milliseconds>(now - known.shown_at)});
        }
    });
    return all;
}

bool fleet_table::reserve_order(const state::endpoint_id& id, state::time_point now) {
    bool is_reserved = true;
    m_runners.update_existing(id, [&](runner_view& runner) {
        if (runner.paused_until(now)) {
            is_reserved = !std::exchange(runner.has_order_in_pause, true);
        }
    });
    return is_reserved;
}

std::vector<state::leaving_runner> fleet_table::recently_leaving(state::time_point now) const {
    std::vector<state::leaving_runner> all;
    m_runners.for_each([&](const state::endpoint_id& id, const runner_view& runner) {
        const auto leaving = runner.exclusions.find(exclusion_reason::leaving, now);
        if (leaving && now - leaving->since < leaving_announced_for &&
            all.size() < max_leaving_announced) {
            all.push_back({id, runner.record.started_ms});
        }
    });
    return all;
}

std::optional<runner_view> fleet_table::find(const state::endpoint_id& id) const {
    return m_runners.find(id);
}

void fleet_table::remember_departures(state::time_point now) {
    std::vector<std::pair<state::endpoint_id, departure>> departed;
    m_runners.for_each([&](const state::endpoint_id& id, const runner_view& runner) {
        if (is_forgotten(runner, now) && runner.is_leaving(now)) {
            departed.push_back({id, {runner.record.started_ms, now + departure_retention}});
        }
    });
    for (const auto& [id, each] : departed) {
        m_departures.update(id, [&each = each](departure& known) { known = each; });
    }
    m_departures.erase_if(
        [&](const auto&, const departure& each) { return now >= each.forgotten_at; });
}

void fleet_table::refresh(state::time_point now) {
    remember_departures(now);
    const auto removed = m_runners.erase_if(
        [&](const auto&, const runner_view& runner) { return is_forgotten(runner, now); });
    const bool is_changed = m_is_changed.exchange(false) || removed > 0;
    fleet_snapshot all;
    m_runners.update_each([&](const auto&, runner_view& runner) {
        if (runner.record.is_head()) {
            runner.last_head_at = now;
        }
        if (is_changed) {
            all.push_back(runner);
        }
    });
    if (!is_changed) {
        return;
    }
    std::sort(all.begin(), all.end(),
              [](const auto& left, const auto& right) { return left.record.id < right.record.id; });
    m_snapshot.replace_if(std::move(all), [](const auto&, const auto&) { return true; });
}

} // namespace savoryrelay::coordination
