// Decides whether a member may take new work.
#include "savoryrelay/coordination/configuration/service_eligibility.h"

namespace savoryrelay::coordination {

service_state decide_service(const eligibility_facts& facts, const eligibility_settings& settings,
                             state::time_point now) {
    const auto within = [now](const std::optional<state::time_point>& at,
                              state::milliseconds limit) { return at && now - *at <= limit; };
    if (!facts.caught_up) {
        return service_state::starting;
    }
    const bool reads_store = within(facts.store_read_at, settings.isolation_limit);
    if (!settings.single_entry_host && !reads_store &&
        !within(facts.majority_contact_at, settings.isolation_limit)) {
        return service_state::isolated;
    }
    // With a limit of -1 ms, the comparisons below are true as soon as a newer revision is known
    // or announced, so a member that was isolated stops at once.
    const auto limit = facts.was_isolated ? state::milliseconds(-1) : settings.behind_limit;
    if (facts.behind_since && now - *facts.behind_since > limit) {
        return service_state::behind;
    }

    // An announced revision may be in force already. A member that reads the store would have seen
    // it. Any other member stops serving until it knows whether the revision was accepted.
    const bool may_be_in_force = facts.announced_at && now - *facts.announced_at > limit;
    if (may_be_in_force && !reads_store && !settings.single_entry_host) {
        return service_state::behind;
    }
    return service_state::serving;
}

std::size_t acknowledgements_needed(std::size_t listed) {
    return (listed + 1) / 2;
}

std::size_t majority_needed(std::size_t listed) {
    return listed / 2 + 1;
}

} // namespace savoryrelay::coordination
