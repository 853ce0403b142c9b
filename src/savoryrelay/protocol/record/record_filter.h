// Filter for record entries.
#pragma once

#include "savoryrelay/state/record/record_entry.h"

#include <optional>

namespace savoryrelay::protocol {

/// Selects the entries that match every field that is set.
struct record_filter {
    std::optional<state::wall_time> from;  ///< inclusive
    std::optional<state::wall_time> until; ///< exclusive
    std::optional<state::customer_id> customer;
    std::optional<state::deployment_id> deployment;
    std::optional<state::request_id> request;

    [[nodiscard]] bool matches(const state::record_entry& entry) const {
        return (!from || entry.at >= *from) && (!until || entry.at < *until) &&
               (!customer || entry.customer == *customer) &&
               (!deployment || entry.deployment == *deployment) &&
               (!request || entry.request == *request);
    }
};

} // namespace savoryrelay::protocol
