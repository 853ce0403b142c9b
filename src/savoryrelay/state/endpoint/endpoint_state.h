// The state of one endpoint as a member knows it.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>

namespace savoryrelay::state {

/// The phase of an endpoint as a router sees it.
enum class endpoint_phase {
    down,    ///< not answering
    cold,    ///< started; accepts only its cold allowance of requests
    warming, ///< its allowance grows
    warm,    ///< accepts requests up to its capacity
    leaving, ///< finishes its requests and receives no new ones
};

template <>
struct enum_table<endpoint_phase> {
    static constexpr std::array rows{
        enum_name<endpoint_phase>{endpoint_phase::down, "down"},
        enum_name<endpoint_phase>{endpoint_phase::cold, "cold"},
        enum_name<endpoint_phase>{endpoint_phase::warming, "warming"},
        enum_name<endpoint_phase>{endpoint_phase::warm, "warm"},
        enum_name<endpoint_phase>{endpoint_phase::leaving, "leaving"},
    };
};

/// An endpoint may become cold or down from any other phase. A leaving endpoint
/// returns to service only through the cold phase.
template <>
struct transition_table<endpoint_phase> {
    using p = endpoint_phase;
    static constexpr std::array rows{
        transition<p>{p::down, p::cold},    transition<p>{p::cold, p::warming},
        transition<p>{p::cold, p::down},    transition<p>{p::cold, p::leaving},
        transition<p>{p::warming, p::warm}, transition<p>{p::warming, p::cold},
        transition<p>{p::warming, p::down}, transition<p>{p::warming, p::leaving},
        transition<p>{p::warm, p::cold},    transition<p>{p::warm, p::down},
        transition<p>{p::warm, p::leaving}, transition<p>{p::leaving, p::down},
        transition<p>{p::leaving, p::cold},
    };
};

/// The load that an endpoint reported.
struct load_report {
    std::uint32_t running = 0; ///< requests in its batch
    std::uint32_t queued = 0;  ///< requests waiting
    time_point received_at{};  ///< when the member received the report
};

/// A member's view of one endpoint.
/// Invariant: `in_flight` counts the requests of this member only.
struct endpoint_state {
    endpoint_phase phase = endpoint_phase::cold;
    load_report report;
    std::uint32_t in_flight = 0;          ///< this member's requests that have not ended
    std::uint32_t sent_since_report = 0;  ///< requests that this member sent after `report`
    std::uint32_t ended_since_report = 0; ///< this member's requests that ended after `report`
    double token_interval_ms = 0;         ///< moving average of token intervals; 0: not observed
    std::uint32_t consecutive_failures = 0;
    time_point retry_at{}; ///< when a down endpoint may be tried again
};

} // namespace savoryrelay::state
