// Counts the attempts of a call and compares them with the limits of its route.
#include "savoryrelay/coordination/serving/call_progress.h"

#include <utility>

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

bool call_progress::allows_repeat(std::uint32_t runs) const {
    return m_route.may_run_again() && runs < m_route.max_attempts;
}

bool call_progress::may_attempt() {
    if (m_has_ended || m_refusals > max_refusals) {
        return false;
    }
    if (m_may_have_run && !allows_repeat(m_runs)) {
        return false;
    }
    return m_attempts == 0 || std::exchange(m_has_reserved, false) || m_take_repeat();
}

bool call_progress::reserve_attempt() {
    m_has_reserved = m_has_reserved || (allows_repeat(m_runs + 1) && m_take_repeat());
    return m_has_reserved;
}

state::execution_outcome call_progress::execution() const {
    return m_may_have_run ? state::execution_outcome::unknown : state::execution_outcome::not_run;
}

} // namespace savoryrelay::coordination
