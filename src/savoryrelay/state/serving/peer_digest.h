// The digest that entry hosts send to each other several times a second.
#pragma once

#include "savoryrelay/state/serving/runner_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// Calls in flight at one endpoint.
struct endpoint_load {
    std::uint32_t writing = 0;        ///< streams whose first event was received
    std::uint32_t waiting = 0;        ///< calls that wait for their first event
    double waiting_prompt_tokens = 0; ///< prompt tokens of the waiting calls

    endpoint_load& operator+=(const endpoint_load& other) {
        writing += other.writing;
        waiting += other.waiting;
        waiting_prompt_tokens += other.waiting_prompt_tokens;
        return *this;
    }
};

/// The load that one host has put on an endpoint.
struct endpoint_load_entry {
    endpoint_id endpoint;
    endpoint_load load;
};

/// Work that calls cause for a model.
struct model_work {
    std::string model;
    double groups = 0; ///< groups that this work would keep busy
};

/// The state of a runner as the sender of a digest observed it.
struct runner_observation {
    endpoint_id id;
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
    bool is_silent = false;      ///< the runner does not answer the sender
    std::string model;           ///< of the runner's group, or of its last group when it has none
    group_membership membership; ///< an empty group name means none
    double time_factor = 1;      ///< slowdown factor; above 1 when the runner is slow
};

/// The digest of one host.
struct peer_digest {
    /// Value of `part` in a datagram that carries only observations.
    static constexpr std::uint8_t observations_only = 255;

    std::string host;              ///< name of the sender
    std::uint64_t incarnation = 0; ///< of the sender's process; increases with each start
    std::uint8_t part = 0;         ///< index of this datagram when the lists are split over several
    std::string address;           ///< IP address at which peers reach the sender
    std::uint16_t port = 0;
    availability_zone_id availability_zone;
    std::uint64_t operators_version = 0; ///< highest version of a row of the operators' table
    std::uint64_t runners_version = 0;   ///< highest version of a row of the runners' table
    bool is_store_reachable = false;
    bool is_controller = false;     ///< the sender holds the lease on the groups
    std::vector<std::string> peers; ///< "address:port" of the hosts that the sender knows
    std::vector<endpoint_load_entry> loads;
    std::vector<model_work> work;
    /// The controller sends all heads and silent runners. Other hosts send runners
    /// that did not answer them, and those in `runners_to_confirm` that did.
    std::vector<runner_observation> observations;
    /// Sent by the controller: runners that did not answer it. The other hosts request
    /// reports from them too.
    std::vector<endpoint_id> runners_to_confirm;
};

} // namespace savoryrelay::state
