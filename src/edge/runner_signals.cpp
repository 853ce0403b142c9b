// Applies, counts and logs the signals in answers of runners.
#include "runner_signals.h"

#include "savoryrelay/transport/process/log.h"

namespace savoryrelay::edge {

using coordination::exclusion_reason;
using coordination::exclusion_source;
using state::milliseconds;
using state::pause_reading;

namespace {

// A runner may send a damaged field with each answer.
constexpr milliseconds damage_log_interval{10'000};

} // namespace

void runner_signals::note_answer(const state::runner_record& runner,
                                 const state::answer_head& answer) {
    if (!answer.is_leaving && answer.pause_field == pause_reading::absent) {
        return;
    }
    const auto now = m_now();
    if (answer.is_leaving) {
        note_leaving(runner.id, runner.started_ms, exclusion_source::answer, now);
    }
    if (answer.pause_field == pause_reading::absent) {
        return;
    }
    if (answer.pause_field != pause_reading::valid) {
        note_damaged_pause(runner.id, answer, now);
    }
    if (m_shared.fleet.note_pause(runner.id, runner.started_ms, now, now + answer.pause)) {
        m_shared.metrics
            .counter_of("savoryrelay_runner_pauses_total", {{"endpoint", runner.service}})
            .add();
        transport::log_info(
            "runner_excluded",
            {{"runner", runner.id.value()},
             {"reason", std::string(state::to_name(exclusion_reason::pause_requested))},
             {"source", std::string(state::to_name(exclusion_source::answer))},
             {"started_ms", std::to_string(runner.started_ms)},
             {"for_ms", std::to_string(answer.pause.count())}});
    }
}

void runner_signals::note_call_rate(const state::runner_record& runner,
                                    const state::answer_head& answer, state::time_point sent_at,
                                    answered_request request) {
    using state::call_rate_reading;
    if (answer.is_other_endpoint) {
        return; // the answer says nothing of this runner
    }
    const auto now = m_now();
    switch (answer.call_rate_field) {
    case call_rate_reading::valid:
        break;
    case call_rate_reading::absent: {
        // Neither an answer to a request that was sent before the limit was named nor one that
        // lacks the runner's receipt shows its end.
        const auto known = m_shared.fleet.find(runner.id);
        if (request != answered_request::call || !answer.has_receipt || !known ||
            !known->call_rate.calls_per_s || sent_at <= known->call_rate.shown_at) {
            return;
        }
        break;
    }
    case call_rate_reading::conflicting:
    case call_rate_reading::unreadable:
        m_shared.metrics
            .counter_of("savoryrelay_runner_call_rates_damaged_total",
                        {{"reading", std::string(state::to_name(answer.call_rate_field))}})
            .add();
        if (!answer.call_rate_limit) {
            return;
        }
        break;
    }
    apply_call_rate({runner.id, runner.started_ms, answer.call_rate_limit, milliseconds(0)},
                    exclusion_source::answer, now, now);
}

void runner_signals::apply_call_rate(const state::call_rate_notice& rate, exclusion_source source,
                                     state::time_point shown_at, state::time_point now) {
    if (!m_shared.fleet.note_call_rate(rate.id, rate.started_ms, rate.calls_per_s, source, shown_at,
                                       now)) {
        return;
    }
    const std::string source_name(state::to_name(source));
    m_shared.metrics.counter_of("savoryrelay_runner_call_rates_total", {{"source", source_name}})
        .add();
    transport::log_info("runner_call_rate",
                        {{"runner", rate.id.value()},
                         {"calls_per_s", rate.calls_per_s ? std::to_string(*rate.calls_per_s) : ""},
                         {"source", source_name},
                         {"started_ms", std::to_string(rate.started_ms)}});
}

void runner_signals::note_peer_notices(const std::vector<state::call_rate_notice>& rates) {
    const auto now = m_now();
    for (const auto& rate : rates) {
        apply_call_rate(rate, exclusion_source::peer, now - rate.age, now);
    }
}

void runner_signals::note_peer_notices(const std::vector<state::leaving_runner>& runners) {
    for (const auto& runner : runners) {
        note_leaving(runner.id, runner.started_ms, exclusion_source::peer, m_now());
    }
}

void runner_signals::note_leaving(const state::endpoint_id& runner, std::uint64_t started_ms,
                                  exclusion_source source, state::time_point now) {
    if (!m_shared.fleet.note_leaving(runner, started_ms, source, now)) {
        return;
    }
    const std::string source_name(state::to_name(source));
    m_shared.metrics.counter_of("savoryrelay_runners_leaving_total", {{"source", source_name}})
        .add();
    transport::log_info("runner_excluded",
                        {{"runner", runner.value()},
                         {"reason", std::string(state::to_name(exclusion_reason::leaving))},
                         {"source", source_name},
                         {"started_ms", std::to_string(started_ms)},
                         {"for_ms", ""}});
}

void runner_signals::note_damaged_pause(const state::endpoint_id& runner,
                                        const state::answer_head& answer, state::time_point now) {
    const std::string reading(state::to_name(answer.pause_field));
    m_shared.metrics.counter_of("savoryrelay_runner_pauses_damaged_total", {{"reading", reading}})
        .add();
    auto logged_at = m_damage_logged_at.load();
    if (now - logged_at >= damage_log_interval &&
        m_damage_logged_at.compare_exchange_strong(logged_at, now)) {
        transport::log_warning("runner_pause_damaged",
                               {{"runner", runner.value()},
                                {"reading", reading},
                                {"for_ms", std::to_string(answer.pause.count())}});
    }
}

} // namespace savoryrelay::edge
