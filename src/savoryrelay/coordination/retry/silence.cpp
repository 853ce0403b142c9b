// Orders the reasons to leave a silent endpoint, and measures the time without progress.
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

} // namespace savoryrelay::coordination
