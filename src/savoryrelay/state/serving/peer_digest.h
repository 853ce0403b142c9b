// What entry hosts tell each other several times a second.
#pragma once

#include "savoryrelay/state/serving/runner_record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// Calls that are in flight at one endpoint.
struct endpoint_load {
    std::uint32_t writing = 0;        ///< streams whose first event has come
    std::uint32_t waiting = 0;        ///< calls without a first event
    double waiting_prompt_tokens = 0; ///< of the calls that wait

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

/// Work that callers bring for a model.
struct model_work {
    std::string model;
    double groups = 0; ///< groups that this work would keep busy
};

/// A runner as the sender has seen it.
struct runner_sighting {
    endpoint_id id;
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    bool is_silent = false;      ///< does not answer
    std::string model;           ///< of its group, or of the last one when it has none
    group_membership membership; ///< an empty group name: none
    double pace = 1;
};

/// One host's digest.
struct peer_digest {
    /// Value of `part` of a datagram that carries sightings alone.
    static constexpr std::uint8_t sightings_only = 255;

    std::string host;              ///< name of the sender
    std::uint64_t incarnation = 0; ///< of its process; grows with each start
    std::uint8_t part = 0;         ///< number of this datagram when the lists take several
    std::string address;           ///< IP address for peers
    std::uint16_t port = 0;
    availability_zone_id availability_zone;
    std::uint64_t operators_row = 0; ///< newest version of an operators' row
    std::uint64_t runners_row = 0;   ///< newest version of a runners' row
    bool is_store_reachable = false;
    bool is_controller = false;     ///< holds the lease on the groups
    std::vector<std::string> peers; ///< "address:port" of hosts that it knows
    std::vector<endpoint_load_entry> loads;
    std::vector<model_work> work;
    /// Of the controller: all heads and silent runners. Of others: runners that
    /// did not answer them, and those that did although the controller doubts them.
    std::vector<runner_sighting> sightings;
    /// Of the controller: runners that did not answer it, which others ask too.
    std::vector<endpoint_id> doubts;
};

} // namespace savoryrelay::state
