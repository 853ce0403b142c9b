// Rules that decide whether a member takes new work, and how many entry hosts must acknowledge the
// announcement of a configuration. They also hold while members are isolated from each other.
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
    starting, ///< may lack the newest revision after its start
    serving,  ///< takes new work
    isolated, ///< has contact with neither the store nor a majority of entry hosts
    behind,   ///< a newer revision exists or may exist and was not fetched in time
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

/// Time limits of the rule. Two members serve different revisions for at most `isolation_limit +
/// behind_limit`, which must not exceed 6 s.
struct eligibility_settings {
    /// A member stops serving when its last contact with the store and its last contact with a
    /// majority are both older than this.
    state::milliseconds isolation_limit{4'000};
    /// Time for which a member may keep serving after it learns of a newer revision that it does
    /// not hold. A member that was isolated must stop at once, because that revision may have been
    /// in force for a long time.
    state::milliseconds behind_limit{2'000};
    /// Maximum time from an announcement to the end of its transaction. A read of the store after
    /// that time shows whether the revision was accepted.
    state::milliseconds announcement_expiry{30'000};
    /// True when there is only one entry host, which serves requests and accepts configurations
    /// without contact with others.
    bool single_entry_host = false;
};

/// Inputs of the rule.
struct eligibility_facts {
    bool caught_up = false;                               ///< held the newest known revision once
    bool was_isolated = false;                            ///< was isolated and has not served since
    std::optional<state::time_point> store_read_at;       ///< start of the last successful read
    std::optional<state::time_point> majority_contact_at; ///< last contact with a majority
    std::optional<state::time_point> behind_since;        ///< when a higher revision became known
    std::optional<state::time_point> announced_at;        ///< when a higher revision was announced
};

/// Rule that decides whether a member takes new work at `now`.
using eligibility_rule = std::function<service_state(
    const eligibility_facts&, const eligibility_settings&, state::time_point now)>;

/// The standard rule.
[[nodiscard]] service_state decide_service(const eligibility_facts& facts,
                                           const eligibility_settings& settings,
                                           state::time_point now);

/// Returns how many of `listed` entry hosts must have acknowledged an announcement before its
/// revision is written.
[[nodiscard]] std::size_t acknowledgements_needed(std::size_t listed);

/// Returns how many of `listed` entry hosts a member must have contact with to serve without the
/// store.
[[nodiscard]] std::size_t majority_needed(std::size_t listed);

} // namespace savoryrelay::coordination
