// Orders the reasons to leave a silent endpoint.
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

} // namespace savoryrelay::coordination
