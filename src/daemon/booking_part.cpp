// Passes the callers' bookings from the front end to the booking coordinator and
// the coordinator's results back to the front end.
#include "booking_part.h"

#include "savoryrelay/protocol/booking/booking_text.h"

namespace savoryrelay::daemon {

using state::milliseconds;
using transport::booking_end;
using transport::stored_answer;

namespace {

// Delay before a commit, so that several row changes share one transaction.
// 10 ms saves 85% of the transactions at 330 bookings per second
// (docs/promises/bookings.md).
constexpr milliseconds batching_delay{10};
// Longest time between two flushes. It bounds the delay until an expired
// deadline is noticed and until a failed write of an outcome is retried.
constexpr milliseconds max_flush_interval{50};
// Interval between checks for rows that are due to be polled or settled. It is
// shorter than the coordinator's poll interval, which determines the load on the
// table.
constexpr milliseconds recovery_interval{100};
// Timeout of each step when a service is queried about a service key.
constexpr milliseconds service_step_timeout{2'000};

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
to_begin_result(const state::attempt<state::booking_answer>& answer) {
    if (!answer) {
        return answer.error();
    }
    const auto& stored = answer.value();
    return std::optional<stored_answer>(
        stored_answer{static_cast<unsigned>(stored.status), stored.content_type, stored.body});
}

state::attempt<state::done> to_finish_result(const state::attempt<state::booking_answer>& answer) {
    if (!answer) {
        return answer.error();
    }
    return state::done{};
}

} // namespace

booking_part::booking_part(state::booking_owner self, dependencies deps)
    : m_dependencies(std::move(deps)),
      m_services(m_dependencies.io_threads, m_dependencies.configuration, service_step_timeout),
      m_coordinator({}, std::move(self),
                    {.platform = m_dependencies.platform,
                     .codec = protocol::booking_text_codec(),
                     .service = m_services.hooks(),
                     .members = {.is_gone = m_dependencies.is_gone, .recovers_partition = {}},
                     .rules = {}},
                    m_dependencies.metrics),
      m_flush_thread([this] { flush_loop(); }) {
    m_recovery_worker.repeat(recovery_interval, [this] {
        m_coordinator.recover(m_dependencies.now());
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
    const auto request_id = call.id.value();
    m_open_calls.insert(request_id, {std::move(completion), {}, {}});
    m_coordinator.submit(
        {id_of(call), call.deployment->id, call.body_digest, call.deadline},
        {.dispatch = [this, request_id] { dispatch(request_id); },
         .complete = [this,
                      request_id](const answer_type& answer) { complete(request_id, answer); }},
        now);
}

void booking_part::dispatch(const std::string& request_id) {
    begin_completion completion;
    m_open_calls.update_existing(request_id,
                                 [&](open_call& open) { std::swap(completion, open.on_begun); });
    completion(std::optional<stored_answer>{});
}

void booking_part::complete(const std::string& request_id, const answer_type& answer) {
    // If the call was dispatched and `finish` has not been called yet, the entry
    // stays in the map, and `finish` completes with this answer.
    m_open_calls.update_existing(request_id, [&](open_call& open) { open.answer = answer; });
    const auto extracted = m_open_calls.extract_if(
        request_id, [](const open_call& open) { return open.on_begun || open.on_finished; });
    if (!extracted) {
        return;
    }
    if (extracted->on_begun) {
        extracted->on_begun(to_begin_result(answer));
    } else {
        extracted->on_finished(to_finish_result(answer));
    }
}

void booking_part::finish(const coordination::call& call, booking_end end,
                          const stored_answer& answer, finish_completion completion) {
    const auto request_id = call.id.value();
    m_open_calls.update_existing(request_id,
                                 [&](open_call& open) { open.on_finished = completion; });

    // An answer is present if the deadline has already passed. The outcome is
    // reported to the coordinator in any case.
    const auto answered = m_open_calls.extract_if(
        request_id, [](const open_call& open) { return open.answer.has_value(); });
    coordination::dispatch_report report{outcome_of(end), {}};
    if (end == booking_end::ran) {
        report.answer = {static_cast<int>(answer.status), answer.content_type, answer.body};
    }
    m_coordinator.report(id_of(call), report);
    if (answered) {
        completion(to_finish_result(*answered->answer));
    }
}

void booking_part::flush_loop() {
    while (m_coordinator.wait_for_work(max_flush_interval, batching_delay)) {
        m_coordinator.flush(m_dependencies.now());
        announce_progress();
    }
}

void booking_part::announce_progress() {
    {
        // Locking prevents a lost wake-up of a thread that has checked its
        // condition but does not wait yet.
        const std::scoped_lock lock(m_mutex);
    }
    m_progress_made.notify_all();
}

std::size_t booking_part::wait_until_settled(milliseconds limit) {
    std::unique_lock lock(m_mutex);
    m_progress_made.wait_for(lock, limit, [&] { return m_coordinator.active() == 0; });
    return m_coordinator.active();
}

void booking_part::stop() {
    m_recovery_worker.stop();
    m_coordinator.stop();
    if (m_flush_thread.joinable()) {
        m_flush_thread.join();
    }
}

} // namespace savoryrelay::daemon
