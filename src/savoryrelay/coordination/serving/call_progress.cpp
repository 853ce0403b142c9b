// Counts the attempts of a call and compares them with the limits of its route.
#include "savoryrelay/coordination/serving/call_progress.h"

namespace savoryrelay::coordination {

void call_progress::note(attempt_outcome outcome, bool endpoint_ended) {
    ++m_attempts;
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
    case attempt_outcome::lost:
        m_may_have_run = true;
        m_runs += endpoint_ended ? 0 : 1;
        break;
    }
}

bool call_progress::may_attempt() const {
    if (m_has_ended || m_refusals > max_refusals) {
        return false;
    }
    if (m_may_have_run && (!m_route.may_run_again() || m_runs >= m_route.max_attempts)) {
        return false;
    }
    return m_attempts == 0 || m_take_repeat();
}

state::execution_outcome call_progress::execution() const {
    return m_may_have_run ? state::execution_outcome::unknown : state::execution_outcome::not_run;
}

} // namespace savoryrelay::coordination
