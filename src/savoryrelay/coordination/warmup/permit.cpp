// The terms of permits at holder and router.
#include "savoryrelay/coordination/warmup/permit.h"

namespace savoryrelay::coordination {

warmup_hooks default_warmup_hooks() {
    warmup_hooks hooks;
    const auto last_end = [](const warmup_settings& settings, state::time_point granted) {
        return granted + settings.term + settings.longest_request + settings.margin;
    };
    hooks.successor_grants_from = last_end;
    hooks.counted_until = last_end;
    hooks.usable_until = [](const warmup_settings& settings, state::time_point sent,
                            state::time_point) { return sent + settings.term; };
    return hooks;
}

} // namespace savoryrelay::coordination
