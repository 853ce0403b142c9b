// The rule for an isolated member: who may serve and who may accept a
// configuration.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>

namespace savoryrelay::coordination {

/// Whether a member takes new work.
enum class service_state {
    starting, ///< not yet sure to hold the newest revision
    serving,
    isolated, ///< neither the store nor more than half of the entry hosts
    behind,   ///< a newer revision exists and could not be fetched in time
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::service_state> {
    using s = savoryrelay::coordination::service_state;
    static constexpr std::array rows{
        enum_name<s>{s::starting, "starting"},
        enum_name<s>{s::serving, "serving"},
        enum_name<s>{s::isolated, "isolated"},
        enum_name<s>{s::behind, "behind"},
    };
};

namespace savoryrelay::coordination {

/// Limits of the rule. Two members serve different revisions for at most
/// `isolation_limit + behind_limit`, which must not exceed 6 s.
struct eligibility_settings {
    /// Time without store and majority after which a member stops.
    state::milliseconds isolation_limit{4'000};
    /// Time that a serving member may know of a newer revision without holding
    /// it. A member that was isolated gets none, since the revision may be old.
    state::milliseconds behind_limit{2'000};
    /// Longest time between an announcement and the end of its transaction. A
    /// read of the store later than that settles whether it took effect.
    state::milliseconds announcement_term{30'000};
    /// The only entry host: serves and accepts without any other.
    bool single_entry_host = false;
};

/// What the rule looks at.
struct eligibility_facts {
    bool started = false;                               ///< the floor rule is met
    bool was_isolated = false;                          ///< and has not served since
    std::optional<state::time_point> store_read_at;     ///< start of the last successful read
    std::optional<state::time_point> majority_heard_at; ///< last proof of more than half
    std::optional<state::time_point> behind_since;      ///< a higher revision was heard of
    std::optional<state::time_point> announced_at;      ///< a higher revision was announced
};

/// Decides whether a member takes new work at `now`.
using service_rule = std::function<service_state(
    const eligibility_facts&, const eligibility_settings&, state::time_point now)>;

/// The rule of the design.
[[nodiscard]] service_state decide_service(const eligibility_facts& facts,
                                           const eligibility_settings& settings,
                                           state::time_point now);

/// Entry hosts that must have repeated an announcement, of `listed` in all.
[[nodiscard]] std::size_t informed_needed(std::size_t listed);

/// Entry hosts that a member without the store must hear, of `listed` in all.
[[nodiscard]] std::size_t majority_needed(std::size_t listed);

} // namespace savoryrelay::coordination
