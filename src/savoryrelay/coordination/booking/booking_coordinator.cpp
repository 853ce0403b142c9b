// The steps of a booking from intent to durable outcome.
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

bool same_call(const state::booking_row& row, const booking_request& request) {
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
      m_early_answers(metrics.counter_of("savoryrelay_booking_answers_before_durable_total")),
      m_active_gauge(metrics.gauge_of("savoryrelay_booking_active")),
      m_commits(settings.commit, m_hooks.platform,
                "booking/" + m_self.member.value() + "/" + std::to_string(m_self.incarnation),
                metrics) {}

bool booking_coordinator::wait_for_work(state::milliseconds timeout, state::milliseconds gather) {
    return m_commits.wait_for_work(timeout, gather);
}

void booking_coordinator::stop() {
    m_commits.stop();
}

void booking_coordinator::submit(booking_request request, booking_call call,
                                 state::time_point now) {
    if (now >= request.deadline) {
        call.complete(failure{failure_kind::deadline_exceeded, "no time was left for the booking",
                              execution_outcome::not_run});
        return;
    }
    state::booking_row row;
    row.id = request.id;
    row.deployment = request.deployment;
    row.body_digest = request.body_digest;
    row.owner = m_self;
    const auto key = state::row_key(request.id);

    // The first call of a key on this host writes the intent; others wait for it.
    std::optional<state::booking_row> running;
    const bool first = m_active.update(key, [&](active_booking& booking) {
        booking.waiters.push_back({std::move(request), std::move(call)});
        if (booking.at == step::created) {
            booking.at = step::inserting;
            booking.row = row;
            return true;
        }
        if (booking.at == step::running || booking.at == step::settling) {
            running = booking.row;
        }
        return false;
    });
    if (first) {
        m_active_gauge.add(1);
        write_row(key, row, 0);
    } else if (running) {
        // The body of a running call is known, so another body is refused at once.
        reject_other_bodies(key, *running);
    }
}

void booking_coordinator::report(const state::booking_id& id, const dispatch_report& report) {
    const auto key = state::row_key(id);
    std::optional<read_booking> outcome;
    bool created = false;
    m_active.update(key, [&](active_booking& booking) {
        if (booking.at == step::running) {
            booking.at = step::settling;
            booking.row.state = state_of(report.outcome);
            booking.row.answer = report.answer;
            outcome = read_booking{booking.row, booking.version};
            return;
        }
        // The booking was settled without this answer: `recover` or the write
        // in flight applies it.
        created = booking.at == step::created;
        if (created) {
            booking.at = step::watching;
            booking.row.id = id;
        }
        booking.late = report;
    });
    if (created) {
        m_active_gauge.add(1);
    }
    if (outcome) {
        write_row(key, outcome->row, outcome->version);
    }
}

void booking_coordinator::write_row(const std::string& key, const state::booking_row& row,
                                    std::uint64_t version) {
    const bool intent = row.state == booking_state::intent;
    m_commits.submit({key, version, m_hooks.codec.encode(row),
                      [this, key, intent](const row_commit& commit, state::time_point now) {
                          if (intent) {
                              intent_written(key, commit, now);
                          } else {
                              outcome_written(key, commit, now);
                          }
                      }});
}

void booking_coordinator::start_write(const std::string& key, const read_booking& next) {
    m_active.update_existing(key, [&](active_booking& booking) {
        booking.at = next.row.state == booking_state::intent ? step::inserting : step::settling;
        booking.row = next.row;
        booking.version = next.version;
        booking.write_again = false;
    });
    write_row(key, next.row, next.version);
}

void booking_coordinator::intent_written(const std::string& key, const row_commit& commit,
                                         state::time_point now) {
    if (m_hooks.rules.may_dispatch(commit.verdict)) {
        read_booking intent;
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.version = commit.version;
            intent = {booking.row, commit.version};
        });
        dispatch(key, intent, now);
    } else if (commit.verdict == commit_verdict::not_written) {
        settle_failure(key, {failure_kind::store_unavailable,
                             "no intent could be written, so this call was not sent; an earlier "
                             "call with the same key may have run"});
    } else {
        // The row exists: what it says decides.
        const auto present = state::collect([&] { return read(key); });
        if (present) {
            decide(key, present.value(), now);
        } else {
            watch(key, now);
        }
    }
}

void booking_coordinator::dispatch(const std::string& key, const read_booking& intent,
                                   state::time_point now) {
    reject_other_bodies(key, intent.row);
    std::function<void()> send;
    m_active.update_existing(key, [&](active_booking& booking) {
        const auto caller =
            std::find_if(booking.waiters.begin(), booking.waiters.end(),
                         [&](const waiter& each) { return now < each.request.deadline; });
        if (caller != booking.waiters.end()) {
            booking.at = step::running;
            send = caller->call.dispatch;
        }
    });
    if (send) {
        m_dispatched.add();
        send();
        return;
    }
    // Nobody waits any more, so the call is not sent and the row says so.
    auto abandoned = intent;
    abandoned.row.state = booking_state::not_run;
    start_write(key, abandoned);
}

void booking_coordinator::outcome_written(const std::string& key, const row_commit& commit,
                                          state::time_point now) {
    state::booking_row outcome;
    m_active.update_existing(key, [&](const active_booking& booking) { outcome = booking.row; });
    if (commit.verdict == commit_verdict::conflict) {
        outcome_conflicted(key, outcome, now);
    } else if (m_hooks.rules.keeps_outcome(commit.verdict)) {
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.write_again = true;
            booking.next_poll = now + m_settings.poll_interval;
        });
    } else {
        settle(key, {outcome, commit.version});
    }
}

void booking_coordinator::outcome_conflicted(const std::string& key,
                                             const state::booking_row& outcome,
                                             state::time_point now) {
    const auto present = state::collect([&] { return read(key); });
    if (!present || !present.value()) {
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.write_again = true;
            booking.next_poll = now + m_settings.poll_interval;
        });
        return;
    }
    const auto& row = present.value()->row;
    const bool same_attempt = row.owner == outcome.owner && row.attempt == outcome.attempt;
    if (same_attempt && state::is_allowed(row.state, outcome.state)) {
        auto next = *present.value();
        next.row.state = outcome.state;
        next.row.answer = outcome.answer;
        start_write(key, next);
        return;
    }
    if (outcome.state == booking_state::ran && row.state != booking_state::ran) {
        m_contradictions.add();
        settle_failure(key, {failure_kind::booking_unknown,
                             "the service answered the call, but the table says '" +
                                 std::string(state::to_name(row.state)) + "'"});
        return;
    }
    decide(key, present.value(), now);
}

void booking_coordinator::write_outcomes_again(state::time_point now) {
    const auto due = keys_where([&](const active_booking& booking) {
        return booking.write_again && now >= booking.next_poll;
    });
    for (const auto& key : due) {
        read_booking outcome;
        m_active.update_existing(key, [&](active_booking& booking) {
            booking.write_again = false;
            outcome = {booking.row, booking.version};
        });
        write_row(key, outcome.row, outcome.version);
    }
}

void booking_coordinator::flush(state::time_point now) {
    write_outcomes_again(now);
    m_commits.flush(now);
    expire(now);
}

void booking_coordinator::decide(const std::string& key, const std::optional<read_booking>& read,
                                 state::time_point now) {
    if (!read) {
        // The row that conflicted is gone; the intent is written anew.
        read_booking fresh;
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
            settle_failure(key, {failure_kind::not_found, "the booking's row is gone"});
        }
        return;
    }

    reject_other_bodies(key, read->row);
    bool waiting = false;
    m_active.update_existing(
        key, [&](const active_booking& booking) { waiting = !booking.waiters.empty(); });
    switch (read->row.state) {
    case booking_state::ran:
    case booking_state::closed:
        m_replayed.add(waiting ? 1 : 0);
        settle(key, *read);
        break;
    case booking_state::not_run:
        if (waiting) {
            auto next = *read;
            next.row.state = booking_state::intent;
            next.row.owner = m_self;
            ++next.row.attempt;
            start_write(key, next);
        } else {
            settle(key, *read);
        }
        break;
    case booking_state::unknown:
        if (waiting && can_ask()) {
            watch(key, now);
        } else {
            settle(key, *read);
        }
        break;
    case booking_state::intent:
        watch(key, is_abandoned(read->row) ? now : now + m_settings.poll_interval);
        break;
    }
}

void booking_coordinator::reject_other_bodies(const std::string& key,
                                              const state::booking_row& row) {
    std::vector<waiter> others;
    m_active.update_existing(key, [&](active_booking& booking) {
        const auto first_other =
            std::stable_partition(booking.waiters.begin(), booking.waiters.end(),
                                  [&](const waiter& each) { return same_call(row, each.request); });
        std::move(first_other, booking.waiters.end(), std::back_inserter(others));
        booking.waiters.erase(first_other, booking.waiters.end());
    });
    for (const auto& each : others) {
        each.call.complete(key_reused(each.request));
    }
}

void booking_coordinator::watch(const std::string& key, state::time_point next_poll) {
    m_active.update_existing(key, [&](active_booking& booking) {
        booking.at = step::watching;
        booking.next_poll = next_poll;
    });
}

void booking_coordinator::recover(state::time_point now) {
    const auto due = keys_where([&](const active_booking& booking) {
        return booking.at == step::watching && (booking.late || now >= booking.next_poll);
    });
    for (const auto& key : due) {
        poll(key, now);
    }
    sweep(now);
}

void booking_coordinator::poll(const std::string& key, state::time_point now) {
    const auto present = state::collect([&] { return read(key); });
    if (!present) {
        watch(key, now + m_settings.poll_interval);
        return;
    }
    if (!present.value()) {
        decide(key, present.value(), now);
        return;
    }
    const auto& found = *present.value();

    // A late answer of this host's own call needs no question to the service.
    std::optional<state::booking_row> late;
    bool waiting = false;
    m_active.update_existing(key, [&](const active_booking& booking) {
        late = found.row.owner == m_self ? apply_late(booking, found.row) : std::nullopt;
        waiting = !booking.waiters.empty();
    });
    if (late) {
        start_write(key, {*late, found.version});
    } else if (is_abandoned(found.row) || (found.row.state == booking_state::unknown && waiting)) {
        reconcile(key, found, now);
    } else if (found.row.state == booking_state::intent && !waiting) {
        settle(key, found);
    } else {
        decide(key, found, now);
    }
}

void booking_coordinator::reconcile(const std::string& key, const read_booking& read,
                                    state::time_point now) {
    reject_other_bodies(key, read.row);
    const auto told = ask_service(read.row);
    auto next = read;
    next.row.state = booking_state::unknown;
    if (told) {
        const auto settled = m_hooks.rules.settle(told->reading);
        if (!settled) {
            watch(key, now + m_settings.poll_interval);
            return;
        }
        next.row.state = *settled;
        if (next.row.state == booking_state::ran) {
            next.row.answer = told->answer;
        }
    }
    if (next.row.state == read.row.state) {
        settle(key, read);
        return;
    }
    m_recovered.add();
    m_unknown.add(next.row.state == booking_state::unknown ? 1 : 0);
    start_write(key, next);
}

std::optional<service_booking>
booking_coordinator::ask_service(const state::booking_row& row) const {
    const auto key = state::service_key(row.id);
    std::optional<service_booking> known;
    if (m_hooks.service.read_back) {
        const auto read_back =
            state::collect([&] { return m_hooks.service.read_back(row.deployment, key); });
        if (read_back) {
            known = read_back.value();
        }
    }
    if (known && known->reading != service_reading::absent) {
        return known;
    }
    // Only a closed key makes it certain that a late call cannot run.
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
    if (m_hooks.members.recovers && !m_hooks.members.recovers(partition)) {
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
        entry.at = step::watching;
        entry.row = decoded.value();
        entry.next_poll = now;
        if (m_active.insert(row.key, std::move(entry))) {
            m_active_gauge.add(1);
            poll(row.key, now);
        }
    }
}

void booking_coordinator::expire(state::time_point now) {
    const auto late = [&](const waiter& each) { return now >= each.request.deadline; };
    const auto due = keys_where([&](const active_booking& booking) {
        return std::any_of(booking.waiters.begin(), booking.waiters.end(), late);
    });
    for (const auto& key : due) {
        std::vector<waiter> expired;
        std::optional<answer_type> answer;
        m_active.update_existing(key, [&](active_booking& booking) {
            const auto first_late =
                std::stable_partition(booking.waiters.begin(), booking.waiters.end(),
                                      [&](const waiter& each) { return !late(each); });
            std::move(first_late, booking.waiters.end(), std::back_inserter(expired));
            booking.waiters.erase(first_late, booking.waiters.end());
            answer = answer_at_deadline(booking);
        });
        for (const auto& each : expired) {
            m_early_answers.add(answer->has_value() ? 1 : 0);
            each.call.complete(*answer);
        }
    }
}

void booking_coordinator::settle(const std::string& key, const read_booking& final) {
    std::optional<state::booking_row> late;
    const auto ended = m_active.extract_if(key, [&](const active_booking& booking) {
        late = final.row.owner == m_self ? apply_late(booking, final.row) : std::nullopt;
        return !late;
    });
    if (late) {
        start_write(key, {*late, final.version});
        return;
    }
    if (!ended) {
        return;
    }
    m_active_gauge.add(-1);
    for (const auto& each : ended->waiters) {
        each.call.complete(answer_of(final.row, each.request));
    }
}

void booking_coordinator::settle_failure(const std::string& key, const failure& error) {
    const auto ended = m_active.extract_if(key, [](const active_booking&) { return true; });
    if (!ended) {
        return;
    }
    m_active_gauge.add(-1);
    for (const auto& each : ended->waiters) {
        each.call.complete(error);
    }
}

state::result<std::optional<booking_coordinator::read_booking>>
booking_coordinator::read(const std::string& key) const {
    BOOST_LEAF_AUTO(row, m_hooks.platform.read_row(key));
    if (row.version == 0) {
        return std::optional<read_booking>{};
    }
    BOOST_LEAF_AUTO(decoded, m_hooks.codec.decode(row.value));
    return std::optional<read_booking>(read_booking{std::move(decoded), row.version});
}

bool booking_coordinator::is_abandoned(const state::booking_row& row) const {
    // An own intent that is read from the table belongs to no running call:
    // those are in `m_active` and are not read.
    return row.state == booking_state::intent &&
           (row.owner == m_self || m_hooks.members.is_gone(row.owner));
}

bool booking_coordinator::can_ask() const {
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

std::optional<state::booking_row> booking_coordinator::apply_late(const active_booking& booking,
                                                                  const state::booking_row& row) {
    if (!booking.late || booking.late->outcome == execution_outcome::unknown) {
        return std::nullopt;
    }
    auto applied = row;
    applied.state = state_of(booking.late->outcome);
    applied.answer = booking.late->answer;
    if (!state::is_allowed(row.state, applied.state)) {
        return std::nullopt;
    }
    return applied;
}

booking_coordinator::answer_type booking_coordinator::answer_of(const state::booking_row& row,
                                                                const booking_request& request) {
    if (!same_call(row, request)) {
        return key_reused(request);
    }
    const auto name = "booking '" + request.id.key + "'";
    switch (row.state) {
    case booking_state::ran:
        return row.answer;
    case booking_state::not_run:
        return failure{failure_kind::endpoint_unreachable, name + " was not sent",
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
    switch (booking.at) {
    case step::settling:
        if (booking.row.state == booking_state::ran) {
            return booking.row.answer;
        }
        break;
    case step::created:
    case step::inserting:
        return failure{failure_kind::deadline_exceeded,
                       "no intent was durable in time, so this call was not sent",
                       execution_outcome::not_run};
    case step::watching:
        return failure{failure_kind::call_in_progress, "another member may run this call"};
    case step::running:
        break;
    }
    return failure{failure_kind::deadline_exceeded, "the call was sent and has no answer yet"};
}

} // namespace savoryrelay::coordination
