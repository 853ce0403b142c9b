// The sharded table of endpoint states of one member.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/endpoint/endpoint_state.h"

namespace savoryrelay::state {

/// Endpoint states by endpoint. Rows are created at the first use.
using endpoint_table = sharded_map<endpoint_id, endpoint_state>;

} // namespace savoryrelay::state
