// Decides after each attempt of one call whether it is tried again, and which
// refusal is true.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <array>
#include <cstdint>
#include <functional>

namespace savoryrelay::coordination {

/// How an attempt at an endpoint ended.
enum class attempt_outcome {
    delivered,   ///< the caller has the whole answer
    not_run,     ///< the endpoint has not run the call and never will
    failed,      ///< the endpoint ran it and answered with a failure
    lost,        ///< it may have run; there is no whole answer
    caller_gone, ///< the caller closed the connection
};

/// What a call came to for its caller.
enum class call_outcome {
    delivered, ///< it has the endpoint's whole answer
    refused,   ///< it has not run; the caller is told when to come back
    failed,    ///< an answer that promises nothing
    broken,    ///< a stream that ended before its last event
    abandoned, ///< the caller left
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
struct savoryrelay::state::enum_table<savoryrelay::coordination::attempt_outcome> {
    using o = savoryrelay::coordination::attempt_outcome;
    static constexpr std::array rows{
        enum_name<o>{o::delivered, "delivered"},     enum_name<o>{o::not_run, "not_run"},
        enum_name<o>{o::failed, "failed"},           enum_name<o>{o::lost, "lost"},
        enum_name<o>{o::caller_gone, "caller_gone"},
    };
};

namespace savoryrelay::coordination {

/// Takes one repeat from the budget that all hosts share. False: it is used up.
using take_repeat_hook = std::function<bool()>;

/// The attempts of one call. Used on one thread.
class call_progress {
public:
    /// Endpoints that may refuse a call before it is given up.
    static constexpr std::uint32_t max_refusals = 3;

    call_progress(const state::route_rule& route, take_repeat_hook take_repeat)
        : m_route(route), m_take_repeat(std::move(take_repeat)) {}

    /// Notes the end of an attempt. `endpoint_ended` tells that the endpoint's
    /// process has ended, so that it does not count as one that ran the call.
    void note(attempt_outcome outcome, bool endpoint_ended);

    /// Whether the call may be sent to another endpoint now.
    [[nodiscard]] bool may_try_again() const;

    /// What is known of the call's execution.
    [[nodiscard]] state::execution_outcome execution() const;

    /// Attempts that have ended.
    [[nodiscard]] std::uint32_t attempts() const { return m_attempts; }

private:
    const state::route_rule& m_route;
    take_repeat_hook m_take_repeat;
    std::uint32_t m_attempts = 0;
    std::uint32_t m_refusals = 0;
    std::uint32_t m_runs = 0; // on endpoints that still live
    bool m_may_have_run = false;
    bool m_has_ended = false; // delivered, or nobody waits
};

} // namespace savoryrelay::coordination
