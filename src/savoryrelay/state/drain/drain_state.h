// The states of the drain of an endpoint or availability zone, and of the daemon's
// planned stop.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>

namespace savoryrelay::state {

/// The states of the drain and return of an endpoint or availability zone.
enum class drain_state {
    in_service, ///< receives its full share of new requests
    draining,   ///< receives no new requests; those in flight finish
    drained,    ///< has no requests in flight
    returning,  ///< its share grows from 0 to the full weight
};

template <>
struct enum_table<drain_state> {
    static constexpr std::array rows{
        enum_name<drain_state>{drain_state::in_service, "in_service"},
        enum_name<drain_state>{drain_state::draining, "draining"},
        enum_name<drain_state>{drain_state::drained, "drained"},
        enum_name<drain_state>{drain_state::returning, "returning"},
    };
};

template <>
struct transition_table<drain_state> {
    using s = drain_state;
    static constexpr std::array rows{
        transition<s>{s::in_service, s::draining}, transition<s>{s::draining, s::drained},
        transition<s>{s::draining, s::returning},  transition<s>{s::drained, s::returning},
        transition<s>{s::returning, s::draining},  transition<s>{s::returning, s::in_service},
    };
};

/// The states of the planned stop of the daemon.
enum class stop_state {
    running,    ///< accepts connections
    announcing, ///< `/readyz` answers 503; still accepts requests from the load balancer
    finishing,  ///< accepts no new requests; those in flight finish
    stopped,    ///< no request is in flight; the process may exit
};

template <>
struct enum_table<stop_state> {
    static constexpr std::array rows{
        enum_name<stop_state>{stop_state::running, "running"},
        enum_name<stop_state>{stop_state::announcing, "announcing"},
        enum_name<stop_state>{stop_state::finishing, "finishing"},
        enum_name<stop_state>{stop_state::stopped, "stopped"},
    };
};

/// A planned stop cannot be cancelled; a new process has to be started instead.
template <>
struct transition_table<stop_state> {
    using s = stop_state;
    static constexpr std::array rows{
        transition<s>{s::running, s::announcing},
        transition<s>{s::announcing, s::finishing},
        transition<s>{s::finishing, s::stopped},
    };
};

} // namespace savoryrelay::state
