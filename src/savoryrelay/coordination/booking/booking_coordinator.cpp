// Processes a booking from its intent to its durable outcome.
#include "savoryrelay/coordination/booking/booking_coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::booking_state;
using state::execution_outcome;
using state::failure;
using state::failure_kind;

booking_state state_of(execution_outcome outcome) {
    switch (outcome) {
    case execution_outcome::ran:
        return booking_state::ran;
    case execution_outcome::not_run:
        return booking_state::not_run;
    case execution_outcome::unknown:
        break;
    }
    return booking_state::unknown;
}

bool is_same_call(const state::booking_row& row, const booking_request& request) {
    return row.body_digest == request.body_digest && row.deployment == request.deployment;
}

failure key_reused(const booking_request& request) {
    return {failure_kind::idempotency_key_reused,
            "key '" + request.id.key + "' belongs to a call with another body or deployment"};
}

} // namespace

booking_coordinator::booking_coordinator(booking_settings settings, state::booking_owner self,
                                         dependencies hooks, state::metrics& metrics)
    : m_settings(settings), m_self(std::move(self)), m_hooks(std::move(hooks)),
      m_dispatched(metrics.counter_of("savoryrelay_booking_dispatched_total")),
      m_replayed(metrics.counter_of("savoryrelay_booking_replayed_total")),
      m_recovered(metrics.counter_of("savoryrelay_booking_recovered_total")),
      m_unknown(metrics.counter_of("savoryrelay_booking_unknown_total")),
      m_contradictions(metrics.counter_of("savoryrelay_booking_contradictions_total")),
      m_answers_before_durable(
          metrics.counter_of("savoryrelay_booking_answers_before_durable_total")),
      m_active_gauge(metrics.gauge_of("savoryrelay_booking_active")),
      m_commits(settings.commit, m_hooks.platform,
                "booking/" + m_self.member.value() + "/" + std::to_string(m_self.incarnation),
                metrics) {}

bool booking_coordinator::wait_for_work(state::milliseconds timeout,
                                        state::milliseconds batch_delay) {
    return m_commits.wait_for_work(timeout, batch_delay);
}

void booking_coordinator::stop() {
    m_commits.stop();
}

void booking_coordinator::submit(booking_request request, booking_call call,
                                 state::time_point now) {
    if (now >= request.deadline) {
        call.complete(failure{failure_kind::deadline_exceeded,
                              "the deadline passed before the booking was accepted",
                              execution_outcome::not_run});
        return;
    }
    state::booking_row row;
    row.id = request.id;
    row.deployment = request.deployment;
    row.body_digest = request.body_digest;
    row.owner = m_self;
    const auto key = state::row_key(request.id);

    // On this host, the first call with a key writes the intent; further calls
    // with the key wait for the result.
    std::optional<state::booking_row> running;
    const bool first = m_active.update(key, [&](active_booking& booking) {
        booking.waiters.push_back({std::move(request), std::move(call)});
        if (booking.phase == booking_phase::created) {
            booking.phase = booking_phase::writing_intent;
            booking.row = row;
            return true;
        }
        if (booking.phase == booking_phase::running ||
            booking.phase == booking_phase::writing_outcome) {
            running = booking.row;
        }
        return false;
    });
    if (first) {
        m_active_gauge.add(1);
        write_row(key, row, 0);
    } else if (running) {
        // The body of the running call is known, so a call with a different body is
        // rejected immediately.
        reject_mismatched_calls(key, *running);
    }
}

void booking_coordinator::report(const state::booking_id& id, const dispatch_report& report) {
    const auto key = state::row_key(id);
    std::optional<versioned_row> outcome_row;
    bool created = false;
    m_active.update(key, [&](active_booking& booking) {
        if (booking.phase == booking_phase::running) {
            booking.phase = booking_phase::writing_outcome;
            booking.row.state = state_of(report.outcome);
            booking.row.answer = report.answer;
            outcome_row = versioned_row{booking.row, booking.version};
            return;
        }
        // The booking is not in the phase `running`, so the report is kept until
        // `recover` or `finish_booking` applies it to the row.
        created = booking.phase == booking_phase::created;
        if (created) {
            booking.phase = booking_phase::polling;
            booking.row.id = id;
        }
        booking.late_report = report;
    });
    if (created) {
        m_active_gauge.add(1);
    }
    if (outcome_row) {
        write_row(key, outcome_row->row, outcome_row->version);
    }
}

void booking_coordinator::write_row(const std::string& key, const state::booking_row& row,
                                    std::uint64_t version) {
    const bool is_intent = row.state == booking_state::intent;
    m_commits.submit(
        {key, version, m_hooks.codec.encode(row),
         [this, key, is_intent](const row_write_result& write_result, state::time_point now) {
             if (is_intent) {
                 on_intent_result(key, write_result, now);
             } else {
                 on_outcome_result(key, write_result, now);
             }
         }});
}

void booking_coordinator::start_write(const std::string& key, const versioned_row& next) {
    m_active.update_existing(key, [&](active_booking& booking) {
        booking.phase = next.row.state == booking_state::intent ? booking_phase::writing_intent
                                                                : booking_phase::writing_outcome;
        booking.row = next.row;
        booking.version = next.version;
        booking.retry_write = false;
    });
    write_row(key, next.row, next.version);
}

void booking_coordinator::on_intent_result(const std::string& key,
                                           const row_write_result& write_result,
                                           state::time_point now) {
    if (m_hooks.rules.may_dispatch(write_result.status)) {
        versioned_row intent_row;
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.version = write_result.version;
            intent_row = {booking.row, write_result.version};
        });
        dispatch(key, intent_row, now);
    } else if (write_result.status == commit_status::not_written) {
        fail_booking(key, {failure_kind::store_unavailable,
                           "the intent could not be written, so this call was not sent; an "
                           "earlier call with the same key may have run"});
    } else {
        // The row already exists, so its state determines the next action.
        const auto current = state::collect([&] { return read(key); });
        if (current) {
            continue_from_row(key, current.value(), now);
        } else {
            schedule_poll(key, now);
        }
    }
}

void booking_coordinator::dispatch(const std::string& key, const versioned_row& intent_row,
                                   state::time_point now) {
    reject_mismatched_calls(key, intent_row.row);
    std::function<void()> send;
    m_active.update_existing(key, [&](active_booking& booking) {
        const auto caller =
            std::find_if(booking.waiters.begin(), booking.waiters.end(),
                         [&](const waiter& each) { return now < each.request.deadline; });
        if (caller != booking.waiters.end()) {
            booking.phase = booking_phase::running;
            send = caller->call.dispatch;
        }
    });
    if (send) {
        m_dispatched.add();
        send();
        return;
    }
    // The deadline of every waiter has passed, so the call is not sent and the
    // row records `not_run`.
    auto not_run_row = intent_row;
    not_run_row.row.state = booking_state::not_run;
    start_write(key, not_run_row);
}

void booking_coordinator::on_outcome_result(const std::string& key,
                                            const row_write_result& write_result,
                                            state::time_point now) {
    state::booking_row outcome_row;
    m_active.update_existing(key,
                             [&](const active_booking& booking) { outcome_row = booking.row; });
    if (write_result.status == commit_status::conflict) {
        resolve_outcome_conflict(key, outcome_row, now);
    } else if (m_hooks.rules.should_retry_outcome(write_result.status)) {
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.retry_write = true;
            booking.next_poll = now + m_settings.poll_interval;
        });
    } else {
        finish_booking(key, {outcome_row, write_result.version});
    }
}

void booking_coordinator::resolve_outcome_conflict(const std::string& key,
                                                   const state::booking_row& outcome_row,
                                                   state::time_point now) {
    const auto current = state::collect([&] { return read(key); });
    if (!current || !current.value()) {
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.retry_write = true;
            booking.next_poll = now + m_settings.poll_interval;
        });
        return;
    }
    const auto& row = current.value()->row;
    const bool same_attempt = row.owner == outcome_row.owner && row.attempt == outcome_row.attempt;
    if (same_attempt && state::is_allowed(row.state, outcome_row.state)) {
        auto next = *current.value();
        next.row.state = outcome_row.state;
        next.row.answer = outcome_row.answer;
        start_write(key, next);
        return;
    }
    if (outcome_row.state == booking_state::ran && row.state != booking_state::ran) {
        m_contradictions.add();
        fail_booking(key, {failure_kind::booking_unknown,
                           "the service answered the call, but the state in the table is '" +
                               std::string(state::to_name(row.state)) + "'"});
        return;
    }
    continue_from_row(key, current.value(), now);
}

void booking_coordinator::retry_outcome_writes(state::time_point now) {
    const auto due = keys_where([&](const active_booking& booking) {
        return booking.retry_write && now >= booking.next_poll;
    });
    for (const auto& key : due) {
        versioned_row outcome_row;
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.retry_write = false;
            outcome_row = {booking.row, booking.version};
        });
        write_row(key, outcome_row.row, outcome_row.version);
    }
}

void booking_coordinator::flush(state::time_point now) {
    retry_outcome_writes(now);
    m_commits.flush(now);
    expire_waiters(now);
}

void booking_coordinator::continue_from_row(const std::string& key,
                                            const std::optional<versioned_row>& current,
                                            state::time_point now) {
    if (!current) {
        // The conflicting row was deleted, so the intent is written again.
        versioned_row fresh;
        bool waiting = false;
        m_active.update_existing(key, [&](const active_booking& booking) {
            waiting = !booking.waiters.empty();
            if (waiting) {
                const auto& request = booking.waiters.front().request;
                fresh.row.id = request.id;
                fresh.row.deployment = request.deployment;
                fresh.row.body_digest = request.body_digest;
                fresh.row.owner = m_self;
            }
        });
        if (waiting) {
            start_write(key, fresh);
        } else {
            fail_booking(key, {failure_kind::not_found, "the booking's row was deleted"});
        }
        return;
    }

    reject_mismatched_calls(key, current->row);
    bool waiting = false;
    m_active.update_existing(
        key, [&](const active_booking& booking) { waiting = !booking.waiters.empty(); });
    switch (current->row.state) {
    case booking_state::ran:
    case booking_state::closed:
        m_replayed.add(waiting ? 1 : 0);
        finish_booking(key, *current);
        break;
    case booking_state::not_run:
        if (waiting) {
            auto next = *current;
            next.row.state = booking_state::intent;
            next.row.owner = m_self;
            ++next.row.attempt;
            start_write(key, next);
        } else {
            finish_booking(key, *current);
        }
        break;
    case booking_state::unknown:
        if (waiting && can_query_service()) {
            schedule_poll(key, now);
        } else {
            finish_booking(key, *current);
        }
        break;
    case booking_state::intent:
        schedule_poll(key, is_abandoned(current->row) ? now : now + m_settings.poll_interval);
        break;
    }
}

void booking_coordinator::reject_mismatched_calls(const std::string& key,
                                                  const state::booking_row& row) {
    std::vector<waiter> mismatched;
    m_active.update_existing(key, [&](active_booking& booking) {
        const auto first_mismatched = std::stable_partition(
            booking.waiters.begin(), booking.waiters.end(),
            [&](const waiter& each) { return is_same_call(row, each.request); });
        std::move(first_mismatched, booking.waiters.end(), std::back_inserter(mismatched));
        booking.waiters.erase(first_mismatched, booking.waiters.end());
    });
    for (const auto& each : mismatched) {
        each.call.complete(key_reused(each.request));
    }
}

void booking_coordinator::schedule_poll(const std::string& key, state::time_point next_poll) {
    m_active.update_existing(key, [&](active_booking& booking) {
        booking.phase = booking_phase::polling;
        booking.next_poll = next_poll;
    });
}

void booking_coordinator::recover(state::time_point now) {
    const auto due = keys_where([&](const active_booking& booking) {
        return booking.phase == booking_phase::polling &&
               (booking.late_report || now >= booking.next_poll);
    });
    for (const auto& key : due) {
        poll(key, now);
    }
    sweep(now);
}

void booking_coordinator::poll(const std::string& key, state::time_point now) {
    const auto current = state::collect([&] { return read(key); });
    if (!current) {
        schedule_poll(key, now + m_settings.poll_interval);
        return;
    }
    if (!current.value()) {
        continue_from_row(key, current.value(), now);
        return;
    }
    const auto& found = *current.value();

    // If this host owns the row and has received a late report, it need not query
    // the service.
    std::optional<state::booking_row> updated_row;
    bool waiting = false;
    m_active.update_existing(key, [&](const active_booking& booking) {
        updated_row =
            found.row.owner == m_self ? row_after_late_report(booking, found.row) : std::nullopt;
        waiting = !booking.waiters.empty();
    });
    if (updated_row) {
        start_write(key, {*updated_row, found.version});
    } else if (is_abandoned(found.row) || (found.row.state == booking_state::unknown && waiting)) {
        reconcile(key, found, now);
    } else if (found.row.state == booking_state::intent && !waiting) {
        finish_booking(key, found);
    } else {
        continue_from_row(key, found, now);
    }
}

void booking_coordinator::reconcile(const std::string& key, const versioned_row& current,
                                    state::time_point now) {
    reject_mismatched_calls(key, current.row);
    const auto service_report = query_service(current.row);
    auto next = current;
    next.row.state = booking_state::unknown;
    if (service_report) {
        const auto new_state = m_hooks.rules.state_from_service(service_report->key_status);
        if (!new_state) {
            schedule_poll(key, now + m_settings.poll_interval);
            return;
        }
        next.row.state = *new_state;
        if (next.row.state == booking_state::ran) {
            next.row.answer = service_report->answer;
        }
    }
    if (next.row.state == current.row.state) {
        finish_booking(key, current);
        return;
    }
    m_recovered.add();
    m_unknown.add(next.row.state == booking_state::unknown ? 1 : 0);
    start_write(key, next);
}

std::optional<service_key_report>
booking_coordinator::query_service(const state::booking_row& row) const {
    const auto key = state::service_key(row.id);
    std::optional<service_key_report> known;
    if (m_hooks.service.read_back) {
        const auto read_back =
            state::collect([&] { return m_hooks.service.read_back(row.deployment, key); });
        if (read_back) {
            known = read_back.value();
        }
    }
    if (known && known->key_status != service_key_status::absent) {
        return known;
    }
    // A call that is still on its way can run unless the service closes the key.
    if (m_hooks.service.close_key) {
        const auto closed =
            state::collect([&] { return m_hooks.service.close_key(row.deployment, key); });
        if (closed) {
            return closed.value();
        }
    }
    return known;
}

void booking_coordinator::sweep(state::time_point now) {
    if (m_next_sweep && now < *m_next_sweep) {
        return;
    }
    m_next_sweep = now + m_settings.sweep_interval;
    const auto partition = m_next_partition;
    m_next_partition = (partition + 1) % state::booking_partitions;
    if (m_hooks.members.recovers_partition && !m_hooks.members.recovers_partition(partition)) {
        return;
    }
    const auto rows = state::collect(
        [&] { return m_hooks.platform.scan_rows(state::partition_prefix(partition)); });
    if (!rows) {
        return;
    }
    for (const auto& row : rows.value()) {
        const auto decoded = state::collect([&] { return m_hooks.codec.decode(row.value); });
        if (!decoded || !is_abandoned(decoded.value())) {
            continue;
        }
        active_booking entry;
        entry.phase = booking_phase::polling;
        entry.row = decoded.value();
        entry.next_poll = now;
        if (m_active.insert(row.key, std::move(entry))) {
            m_active_gauge.add(1);
            poll(row.key, now);
        }
    }
}

void booking_coordinator::expire_waiters(state::time_point now) {
    const auto is_expired = [&](const waiter& each) { return now >= each.request.deadline; };
    const auto due = keys_where([&](const active_booking& booking) {
        return std::any_of(booking.waiters.begin(), booking.waiters.end(), is_expired);
    });
    for (const auto& key : due) {
        std::vector<waiter> expired;
        std::optional<answer_type> answer;
        m_active.update_existing(key, [&](active_booking& booking) {
            const auto first_expired =
                std::stable_partition(booking.waiters.begin(), booking.waiters.end(),
                                      [&](const waiter& each) { return !is_expired(each); });
            std::move(first_expired, booking.waiters.end(), std::back_inserter(expired));
            booking.waiters.erase(first_expired, booking.waiters.end());
            answer = answer_at_deadline(booking);
        });
        for (const auto& each : expired) {
            m_answers_before_durable.add(answer->has_value() ? 1 : 0);
            each.call.complete(*answer);
        }
    }
}

void booking_coordinator::finish_booking(const std::string& key, const versioned_row& final) {
    std::optional<state::booking_row> updated_row;
    const auto removed = m_active.extract_if(key, [&](const active_booking& booking) {
        updated_row =
            final.row.owner == m_self ? row_after_late_report(booking, final.row) : std::nullopt;
        return !updated_row;
    });
    if (updated_row) {
        start_write(key, {*updated_row, final.version});
        return;
    }
    if (!removed) {
        return;
    }
    m_active_gauge.add(-1);
    for (const auto& each : removed->waiters) {
        each.call.complete(answer_from_row(final.row, each.request));
    }
}

void booking_coordinator::fail_booking(const std::string& key, const failure& error) {
    const auto removed = m_active.extract_if(key, [](const active_booking&) { return true; });
    if (!removed) {
        return;
    }
    m_active_gauge.add(-1);
    for (const auto& each : removed->waiters) {
        each.call.complete(error);
    }
}

state::result<std::optional<booking_coordinator::versioned_row>>
booking_coordinator::read(const std::string& key) const {
    BOOST_LEAF_AUTO(row, m_hooks.platform.read_row(key));
    if (row.version == 0) {
        return std::optional<versioned_row>{};
    }
    BOOST_LEAF_AUTO(decoded, m_hooks.codec.decode(row.value));
    return std::optional<versioned_row>(versioned_row{std::move(decoded), row.version});
}

bool booking_coordinator::is_abandoned(const state::booking_row& row) const {
    // If this host owns the intent, its call is not running: this host reads a key's
    // row only in phases in which it runs no call for the key, and `sweep` skips the
    // keys in `m_active`.
    return row.state == booking_state::intent &&
           (row.owner == m_self || m_hooks.members.is_gone(row.owner));
}

bool booking_coordinator::can_query_service() const {
    return m_hooks.service.read_back || m_hooks.service.close_key;
}

template <typename Predicate>
std::vector<std::string> booking_coordinator::keys_where(Predicate matches) const {
    std::vector<std::string> keys;
    m_active.for_each([&](const std::string& key, const active_booking& booking) {
        if (matches(booking)) {
            keys.push_back(key);
        }
    });
    return keys;
}

std::optional<state::booking_row>
booking_coordinator::row_after_late_report(const active_booking& booking,
                                           const state::booking_row& row) {
    if (!booking.late_report || booking.late_report->outcome == execution_outcome::unknown) {
        return std::nullopt;
    }
    auto applied = row;
    applied.state = state_of(booking.late_report->outcome);
    applied.answer = booking.late_report->answer;
    if (!state::is_allowed(row.state, applied.state)) {
        return std::nullopt;
    }
    return applied;
}

booking_coordinator::answer_type
booking_coordinator::answer_from_row(const state::booking_row& row,
                                     const booking_request& request) {
    if (!is_same_call(row, request)) {
        return key_reused(request);
    }
    const auto name = "booking '" + request.id.key + "'";
    switch (row.state) {
    case booking_state::ran:
        return row.answer;
    case booking_state::not_run:
        return failure{failure_kind::endpoint_unreachable, name + " did not run",
                       execution_outcome::not_run};
    case booking_state::closed:
        return failure{failure_kind::endpoint_failed,
                       name + " was closed at the service before it ran; use a new key",
                       execution_outcome::not_run};
    case booking_state::intent:
        return failure{failure_kind::call_in_progress, name + " is running"};
    case booking_state::unknown:
        break;
    }
    return failure{failure_kind::booking_unknown, name + " may have run"};
}

booking_coordinator::answer_type
booking_coordinator::answer_at_deadline(const active_booking& booking) {
    switch (booking.phase) {
    case booking_phase::writing_outcome:
        if (booking.row.state == booking_state::ran) {
            return booking.row.answer;
        }
        break;
    case booking_phase::created:
    case booking_phase::writing_intent:
        return failure{failure_kind::deadline_exceeded,
                       "the intent was not durable before the deadline, so this call was not sent",
                       execution_outcome::not_run};
    case booking_phase::polling:
        return failure{failure_kind::call_in_progress, "another member may be running this call"};
    case booking_phase::running:
        break;
    }
    return failure{failure_kind::deadline_exceeded,
                   "the call was sent but not answered before the deadline"};
}

} // namespace savoryrelay::coordination
