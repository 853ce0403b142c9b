// Translation between the front end's calls and the booking coordinator.
#include "booking_part.h"

#include "savoryrelay/protocol/booking/booking_text.h"

namespace savoryrelay::daemon {

using state::milliseconds;
using transport::booking_end;
using transport::stored_answer;

namespace {

// Time for row states to gather before a commit. 10 ms saves 85% of the
// transactions at 330 bookings per second (docs/promises/bookings.md).
constexpr milliseconds gather_time{10};
// Bounds how late a deadline is noticed and an outcome is written again.
constexpr milliseconds flush_timeout{50};
// Between looks for rows to be polled or settled; below the poll interval of
// the coordinator, which sets the load on the table.
constexpr milliseconds recovery_interval{100};
// Of each step of an exchange with a service that is asked for a key.
constexpr milliseconds service_timeout{2'000};

state::booking_id id_of(const coordination::call& call) {
    return {call.customer->id, call.idempotency_key};
}

state::execution_outcome outcome_of(booking_end end) {
    switch (end) {
    case booking_end::ran:
        return state::execution_outcome::ran;
    case booking_end::not_run:
        return state::execution_outcome::not_run;
    case booking_end::unknown:
        break;
    }
    return state::execution_outcome::unknown;
}

state::attempt<std::optional<stored_answer>>
first_answer(const state::attempt<state::booking_answer>& answer) {
    if (!answer) {
        return answer.error();
    }
    const auto& kept = answer.value();
    return std::optional<stored_answer>(
        stored_answer{static_cast<unsigned>(kept.status), kept.content_type, kept.body});
}

state::attempt<state::done> kept_outcome(const state::attempt<state::booking_answer>& answer) {
    if (!answer) {
        return answer.error();
    }
    return state::done{};
}

} // namespace

booking_part::booking_part(state::booking_owner self, dependencies hooks)
    : m_hooks(std::move(hooks)),
      m_services(m_hooks.io_threads, m_hooks.configuration, service_timeout),
      m_coordinator({}, std::move(self),
                    {.platform = m_hooks.platform,
                     .codec = protocol::booking_text_codec(),
                     .service = m_services.hooks(),
                     .members = {.is_gone = m_hooks.is_gone, .recovers_partition = {}},
                     .rules = {}},
                    m_hooks.metrics),
      m_flushing([this] { run_flushes(); }) {
    m_recovery.repeat(recovery_interval, [this] {
        m_coordinator.recover(m_hooks.now());
        announce_progress();
    });
}

booking_part::~booking_part() {
    stop();
}

transport::booking_hooks booking_part::hooks() {
    return {
        .begin = [this](const coordination::call& call, state::time_point now,
                        begin_completion completion) { begin(call, now, std::move(completion)); },
        .finish =
            [this](const coordination::call& call, booking_end end, const stored_answer& answer,
                   state::time_point, finish_completion completion) {
                finish(call, end, answer, std::move(completion));
            },
    };
}

void booking_part::begin(const coordination::call& call, state::time_point now,
                         begin_completion completion) {
    const auto name = call.id.value();
    m_open.insert(name, {std::move(completion), {}, {}});
    m_coordinator.submit(
        {id_of(call), call.deployment->id, call.fingerprint, call.deadline},
        {.dispatch = [this, name] { dispatch(name); },
         .complete = [this, name](const answer_type& answer) { complete(name, answer); }},
        now);
}

void booking_part::dispatch(const std::string& call) {
    begin_completion begun;
    m_open.update_existing(call, [&](open_call& open) { std::swap(begun, open.begun); });
    begun(std::optional<stored_answer>{});
}

void booking_part::complete(const std::string& call, const answer_type& answer) {
    // A dispatched call whose end is not known yet keeps its answer for `finish`.
    m_open.update_existing(call, [&](open_call& open) { open.answer = answer; });
    const auto ended =
        m_open.extract_if(call, [](const open_call& open) { return open.begun || open.ended; });
    if (!ended) {
        return;
    }
    if (ended->begun) {
        ended->begun(first_answer(answer));
    } else {
        ended->ended(kept_outcome(answer));
    }
}

void booking_part::finish(const coordination::call& call, booking_end end,
                          const stored_answer& answer, finish_completion completion) {
    const auto name = call.id.value();
    m_open.update_existing(name, [&](open_call& open) { open.ended = completion; });

    // The deadline may have passed first; the outcome is still recorded.
    const auto answered =
        m_open.extract_if(name, [](const open_call& open) { return open.answer.has_value(); });
    coordination::dispatch_report report{outcome_of(end), {}};
    if (end == booking_end::ran) {
        report.answer = {static_cast<int>(answer.status), answer.content_type, answer.body};
    }
    m_coordinator.report(id_of(call), report);
    if (answered) {
        completion(kept_outcome(*answered->answer));
    }
}

void booking_part::run_flushes() {
    while (m_coordinator.wait_for_work(flush_timeout, gather_time)) {
        m_coordinator.flush(m_hooks.now());
        announce_progress();
    }
}

void booking_part::announce_progress() {
    {
        // Taken so that a waiter between its check and its wait is not missed.
        const std::scoped_lock lock(m_mutex);
    }
    m_progress.notify_all();
}

std::size_t booking_part::wait_until_settled(milliseconds limit) {
    std::unique_lock lock(m_mutex);
    m_progress.wait_for(lock, limit, [&] { return m_coordinator.active() == 0; });
    return m_coordinator.active();
}

void booking_part::stop() {
    m_recovery.stop();
    m_coordinator.stop();
    if (m_flushing.joinable()) {
        m_flushing.join();
    }
}

} // namespace savoryrelay::daemon
