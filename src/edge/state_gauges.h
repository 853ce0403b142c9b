// Gauges of the state of an entry host, set when its metrics are read.
#pragma once

#include "shared_state.h"

#include "savoryrelay/coordination/admission/serving_admission.h"
#include "savoryrelay/coordination/memory/memory_account.h"

namespace savoryrelay::edge {

/// Sets the gauges of the configuration, the store, hosts, runners, groups and the calls in
/// flight.
void set_state_gauges(shared_state& shared, bool is_controller, state::time_point now);
/// Sets the gauges of the admission of calls to each model.
void set_admission_gauges(shared_state& shared, coordination::serving_admission& admission,
                          state::time_point now);

/// Sets the gauges of the memory and the connections held for clients.
void set_account_gauges(state::metrics& metrics, const coordination::memory_account& account);

} // namespace savoryrelay::edge
