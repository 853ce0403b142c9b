// Orders the reasons to leave a silent endpoint, and measures the times without progress and
// after the deadline.
#include "savoryrelay/coordination/retry/silence.h"

namespace savoryrelay::coordination {

silence_step decide_on_silence(const silence_hooks& hooks) {
    if (hooks.is_over()) {
        return silence_step::give_up;
    }
    if (hooks.has_kept_answer() || hooks.prepare_next()) {
        return silence_step::hand_over;
    }
    return hooks.is_lost() ? silence_step::give_up : silence_step::wait;
}

bool trickle_detector::note_piece(state::time_point now, state::milliseconds limit) {
    if (!m_began_at || now - m_last_piece_at >= m_min_silence) {
        m_began_at = now;
    }
    m_last_piece_at = now;
    return now - *m_began_at >= limit;
}

bool reading_limit::is_over(state::time_point now) {
    if (now < m_deadline) {
        return false;
    }
    m_late_since = m_late_since.value_or(now);
    return now - *m_late_since >= late_reading_time;
}

} // namespace savoryrelay::coordination
