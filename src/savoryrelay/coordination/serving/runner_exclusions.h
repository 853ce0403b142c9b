// What a host holds against a runner: each reason to send it no new calls, where the host
// learned of it, and when it ends.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace savoryrelay::coordination {

/// Why a runner gets no new calls from this host.
enum class exclusion_reason {
    draining,        ///< its entry says that it is about to stop
    leaving,         ///< it said in an answer that it is about to stop
    pause_requested, ///< it refused a request and asked for a pause
    call_failed,     ///< a call got no answer
    not_serving,     ///< it is not the head of an open group, or another runner has its address
};

/// How this host learned of an exclusion.
enum class exclusion_source {
    entry,  ///< the runner's entry on the platform
    answer, ///< an answer of the runner to this host
    peer,   ///< another host, which had an answer of the runner
    call,   ///< the outcome of a call of this host
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::exclusion_reason> {
    using r = savoryrelay::coordination::exclusion_reason;
    static constexpr std::array rows{
        enum_name<r>{r::draining, "draining"},
        enum_name<r>{r::leaving, "leaving"},
        enum_name<r>{r::pause_requested, "pause_requested"},
        enum_name<r>{r::call_failed, "call_failed"},
        enum_name<r>{r::not_serving, "not_serving"},
    };
};

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::exclusion_source> {
    using s = savoryrelay::coordination::exclusion_source;
    static constexpr std::array rows{
        enum_name<s>{s::entry, "entry"},
        enum_name<s>{s::answer, "answer"},
        enum_name<s>{s::peer, "peer"},
        enum_name<s>{s::call, "call"},
    };
};

namespace savoryrelay::coordination {

/// One reason to send a runner no calls.
struct runner_exclusion {
    /// End of an exclusion that holds as long as the runner's incarnation lives.
    static constexpr state::time_point no_end = state::time_point::max();

    exclusion_source source = exclusion_source::entry;
    state::time_point since{};
    state::time_point until{};
};

/// The exclusions of one incarnation of a runner, at most one for each reason. A new
/// incarnation starts with an empty table.
class runner_exclusions {
public:
    /// Adds an exclusion that ends at `until`, or extends the one for the same reason. Returns
    /// whether it begins at `now`.
    bool add(exclusion_reason reason, exclusion_source source, state::time_point now,
             state::time_point until);
    /// Returns the exclusion for `reason` if it holds at `now`.
    [[nodiscard]] std::optional<runner_exclusion> find(exclusion_reason reason,
                                                       state::time_point now) const;
    [[nodiscard]] bool contains(exclusion_reason reason, state::time_point now) const {
        return find(reason, now).has_value();
    }
    /// Returns whether any exclusion holds at `now`.
    [[nodiscard]] bool any(state::time_point now) const;
    void clear() { m_by_reason = {}; }

private:
    static constexpr std::size_t reason_count = state::enum_table<exclusion_reason>::rows.size();

    // Indexed by the reason; empty until the first exclusion for it. Ended ones remain.
    std::array<std::optional<runner_exclusion>, reason_count> m_by_reason{};
};

} // namespace savoryrelay::coordination
