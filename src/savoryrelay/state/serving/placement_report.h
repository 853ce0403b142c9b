// Describes where a host would send a call, and what it holds against each endpoint.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/serving/peer_digest.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <array>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// Whether an endpoint may take a call, and if not, why.
enum class placement_verdict {
    available,     ///< it may take the call
    full,          ///< it has as many calls in flight as it may have
    excluded,      ///< it is about to stop, wants a pause, or failed lately
    silent,        ///< it does not answer
    unlisted,      ///< it has no entry on the platform
    zone_in_drain, ///< its availability zone is out of service
    not_serving,   ///< it heads no open group
    other_model,   ///< its group serves another model
};

template <>
struct enum_table<placement_verdict> {
    using v = placement_verdict;
    static constexpr std::array rows{
        enum_name<v>{v::available, "available"},
        enum_name<v>{v::full, "full"},
        enum_name<v>{v::excluded, "excluded"},
        enum_name<v>{v::silent, "silent"},
        enum_name<v>{v::unlisted, "unlisted"},
        enum_name<v>{v::zone_in_drain, "zone_in_drain"},
        enum_name<v>{v::not_serving, "not_serving"},
        enum_name<v>{v::other_model, "other_model"},
    };
};

/// An endpoint as a target of a call.
struct placement_candidate {
    endpoint_id id;
    availability_zone_id availability_zone;
    placement_verdict verdict = placement_verdict::available;
    endpoint_load load;        ///< calls in flight from all hosts
    double time_factor = 1;    ///< above 1 when the endpoint is slow
    double first_event_ms = 0; ///< predicted; 0 if the service has no engine
    double event_gap_ms = 0;   ///< predicted; 0 if the service has no engine
};

/// Where the calls of one service of a route would go.
struct service_placement {
    std::string service;
    double weight = 1;    ///< part of the route's calls that the service gets
    std::string endpoint; ///< selected; empty: none
    std::string failure;  ///< why none was selected; empty: one was
    double first_event_ms =
        0; ///< predicted for the selected endpoint, as learned errors correct it
    std::vector<placement_candidate> candidates; ///< of the service, the earliest prediction first
};

/// Where a call would go now, as one host sees it.
struct placement_report {
    std::string host;
    std::uint64_t configuration = 0; ///< version in force
    std::string route;               ///< empty: no route matches
    std::string customer;            ///< empty: the call needs none, or its key is unknown
    std::string
        refusal; ///< why the host would refuse the call before it selects; empty: it would not
    std::vector<service_placement> services;
};

} // namespace savoryrelay::state
