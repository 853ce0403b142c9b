// Implements the default expiry rules of permits.
#include "savoryrelay/coordination/warmup/permit.h"

namespace savoryrelay::coordination {

warmup_hooks default_warmup_hooks() {
    warmup_hooks hooks;
    const auto latest_end = [](const warmup_settings& settings, state::time_point granted) {
        return granted + settings.term + settings.longest_request + settings.margin;
    };
    hooks.successor_grants_from = latest_end;
    hooks.counted_until = latest_end;
    hooks.usable_until = [](const warmup_settings& settings, state::time_point sent,
                            state::time_point) { return sent + settings.term; };
    return hooks;
}

} // namespace savoryrelay::coordination
