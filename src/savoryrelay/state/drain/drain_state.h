// States of the drain of an endpoint, of an availability zone and of the daemon.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>

namespace savoryrelay::state {

/// The drain and return of an endpoint or of an availability zone.
enum class drain_state {
    in_service, ///< receives its full share
    draining,   ///< receives nothing new; requests in flight finish
    drained,    ///< nothing in flight
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

/// The planned stop of the daemon.
enum class stop_state {
    running,    ///< accepts connections
    announcing, ///< `/readyz` answers 503; accepts while the balancer still sends
    finishing,  ///< accepts nothing new; requests in flight finish
    stopped,    ///< nothing in flight; the process may exit
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

/// A planned stop cannot be taken back: a new process starts instead.
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
