// Gauges of the state of an entry host, set when its metrics are read.
#pragma once

#include "shared_state.h"

namespace savoryrelay::edge {

/// Sets the gauges of the configuration, the store, hosts, runners, groups and the calls in
/// flight.
void set_state_gauges(shared_state& shared, bool is_controller, state::time_point now);

} // namespace savoryrelay::edge
