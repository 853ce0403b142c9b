// Decides after each attempt of one call whether the call is retried, and
// whether its caller may be told that it has not run.
#pragma once

#include "savoryrelay/coordination/retry/silence.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <array>
#include <cstdint>
#include <functional>
#include <utility>

namespace savoryrelay::coordination {

/// How an attempt at an endpoint ended.
enum class attempt_outcome {
    delivered,   ///< the caller has received the whole answer
    not_run,     ///< the endpoint did not run the call and will not run it
    failed,      ///< the endpoint ran it and answered with a failure
    withheld,    ///< it may have run, and the endpoint's answer must not reach the caller
    lost,        ///< the call may have run, but no complete answer was received
    caller_gone, ///< the caller closed the connection
};

/// Whether an endpoint's process ended with an attempt.
enum class endpoint_end {
    none,          ///< the process has not ended, as far as is known
    before_answer, ///< it ended before it had sent an event of the answer
    during_answer, ///< it ended after it had sent an event of the answer
};

/// The result of a call as its caller sees it.
enum class call_outcome {
    delivered, ///< the caller received the endpoint's whole answer
    refused,   ///< the call did not run; the caller is told when to retry
    failed,    ///< the caller received a failure; the call may have run
    broken,    ///< the stream ended before its last event
    abandoned, ///< the caller closed the connection
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::call_outcome> {
    using o = savoryrelay::coordination::call_outcome;
    static constexpr std::array rows{
        enum_name<o>{o::delivered, "delivered"}, enum_name<o>{o::refused, "refused"},
        enum_name<o>{o::failed, "failed"},       enum_name<o>{o::broken, "broken"},
        enum_name<o>{o::abandoned, "abandoned"},
    };
};

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::endpoint_end> {
    using e = savoryrelay::coordination::endpoint_end;
    static constexpr std::array rows{
        enum_name<e>{e::none, "none"},
        enum_name<e>{e::before_answer, "before_answer"},
        enum_name<e>{e::during_answer, "during_answer"},
    };
};

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::attempt_outcome> {
    using o = savoryrelay::coordination::attempt_outcome;
    static constexpr std::array rows{
        enum_name<o>{o::delivered, "delivered"}, enum_name<o>{o::not_run, "not_run"},
        enum_name<o>{o::failed, "failed"},       enum_name<o>{o::withheld, "withheld"},
        enum_name<o>{o::lost, "lost"},           enum_name<o>{o::caller_gone, "caller_gone"},
    };
};

namespace savoryrelay::coordination {

/// Takes one repeat, that is one attempt after the first, from the budget that all
/// hosts share. Returns false when the budget is used up.
using take_repeat_hook = std::function<bool()>;

/// Tracks the attempts of one call. Not thread-safe.
class call_progress {
public:
    /// A call whose answer has not begun is not retried after more than this number of
    /// endpoints have refused it.
    static constexpr std::uint32_t max_refusals = 3;

    call_progress(const state::route_rule& route, take_repeat_hook take_repeat)
        : m_route(route), m_take_repeat(std::move(take_repeat)) {}

    /// Records that an attempt begins. It is open until `note` records its end. Several are
    /// open while the call keeps silent endpoints.
    void begin_attempt() { ++m_open; }

    /// Withdraws an attempt of which nothing was sent. It counts as no attempt, and a repeat that
    /// it took is reserved for the next one.
    void withdraw_attempt();

    /// Records the end of an attempt. An endpoint that ended before it answered counts towards
    /// the number of endpoints that may run the call, because the call may have ended it. An
    /// endpoint that ended while it answered does not count.
    void note(attempt_outcome outcome, endpoint_end end);

    /// Records that an endpoint whose attempt was noted with `endpoint_end::none` has ended
    /// while it answered, as found out since.
    void note_ended_during_answer();

    /// Records that the caller has received a part of the answer. From now on the call can
    /// only be completed or cut, no longer refused.
    void note_answer_begun() { m_has_begun = true; }
    [[nodiscard]] bool has_answer_begun() const { return m_has_begun; }

    /// Returns whether the outcomes of the earlier attempts and the route allow another one.
    [[nodiscard]] bool allows_attempt() const;

    /// Returns until when the call waits for an endpoint that can take it, if it has waited
    /// since `since` or its answer has been interrupted since then.
    [[nodiscard]] state::time_point queue_deadline(state::time_point since) const;

    /// Returns whether the next attempt may be sent now. If it is not the first one,
    /// this also takes one repeat from the budget, unless one is reserved.
    [[nodiscard]] bool may_attempt();

    /// Returns whether another attempt may begin while the open ones stay open, and takes
    /// the repeat for it from the budget. A call stays with a silent endpoint otherwise.
    [[nodiscard]] bool reserve_attempt();

    /// Returns `not_run` if no endpoint has run the call, and `unknown` if one may have.
    [[nodiscard]] state::execution_outcome execution() const;

    /// Returns the number of attempts that have ended.
    [[nodiscard]] std::uint32_t attempts() const { return m_attempts; }

private:
    const state::route_rule& m_route;
    take_repeat_hook m_take_repeat;
    std::uint32_t m_attempts = 0; // attempts that have ended
    std::uint32_t m_open = 0;     // attempts that have begun and not ended; each may have run
    std::uint32_t m_refusals = 0;
    std::uint32_t m_runs = 0;    // ended attempts that count towards the route's limit
    bool m_has_reserved = false; // a repeat was taken for the next attempt
    bool m_has_begun = false;    // the caller has received a part of the answer
    bool m_may_have_run = false;
    bool m_has_ended = false; // the answer was delivered, or the caller is gone
};

} // namespace savoryrelay::coordination
