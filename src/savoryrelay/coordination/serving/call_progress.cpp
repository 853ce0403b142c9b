// Counts the attempts of a call and compares them with the limits of its route.
#include "savoryrelay/coordination/serving/call_progress.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

// A call waits for a free endpoint for at most this fraction of its target for the
// first answer. The longer the front holds a call, the more time the caller loses
// if the call is then refused.
constexpr double queue_target_share = 0.3;
constexpr state::milliseconds max_queue_time{200};
// An interrupted stream waits for as long as a group takes to form again from weights that
// its hosts have. Callers leave a stream that pauses for much longer.
constexpr state::milliseconds max_interruption{1'500};

} // namespace

void call_progress::note(attempt_outcome outcome, endpoint_end end) {
    ++m_attempts;
    assert(m_open > 0);
    --m_open;
    switch (outcome) {
    case attempt_outcome::delivered:
    case attempt_outcome::caller_gone:
        m_may_have_run = true;
        m_has_ended = true;
        break;
    case attempt_outcome::not_run:
        ++m_refusals;
        break;
    case attempt_outcome::failed:
    case attempt_outcome::withheld:
    case attempt_outcome::lost:
        m_may_have_run = true;
        m_runs += end == endpoint_end::during_answer ? 0 : 1;
        break;
    }
}

void call_progress::note_ended_during_answer() {
    assert(m_runs > 0);
    --m_runs;
}

void call_progress::withdraw_attempt() {
    assert(m_open > 0);
    --m_open;
    const bool is_first = m_attempts == 0 && m_open == 0;
    m_has_reserved = !is_first;
}

bool call_progress::allows_attempt() const {
    if (m_has_ended || (m_refusals > max_refusals && !m_has_begun)) {
        return false;
    }
    const bool may_have_run = m_may_have_run || m_open > 0;
    return !may_have_run || (m_route.may_run_again() && m_runs + m_open < m_route.max_attempts);
}

state::time_point call_progress::queue_deadline(state::time_point since) const {
    if (m_has_begun) {
        return since + max_interruption;
    }
    return since + std::min(max_queue_time, std::chrono::duration_cast<state::milliseconds>(
                                                m_route.first_answer_target * queue_target_share));
}

bool call_progress::may_attempt() {
    if (!allows_attempt()) {
        return false;
    }
    const bool is_first = m_attempts == 0 && m_open == 0;
    return is_first || std::exchange(m_has_reserved, false) || m_take_repeat();
}

bool call_progress::reserve_attempt() {
    m_has_reserved = m_has_reserved || (allows_attempt() && m_take_repeat());
    return m_has_reserved;
}

state::execution_outcome call_progress::execution() const {
    return m_may_have_run ? state::execution_outcome::unknown : state::execution_outcome::not_run;
}

} // namespace savoryrelay::coordination
