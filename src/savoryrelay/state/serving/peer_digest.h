// The digest that entry hosts send to each other several times a second.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/member/member.h"
#include "savoryrelay/state/platform/store_version.h"
#include "savoryrelay/state/serving/call_urgency.h"
#include "savoryrelay/state/serving/crash_notice.h"
#include "savoryrelay/state/serving/runner_record.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// Calls in flight at one endpoint.
struct endpoint_load {
    std::uint32_t writing = 0;        ///< streams whose first event was received
    std::uint32_t waiting = 0;        ///< calls that wait for their first event
    double waiting_prompt_tokens = 0; ///< prompt tokens of the waiting calls
    /// Calls a second that hosts want to send, and send, to an endpoint that has named a limit of
    /// its calls; 0 for others.
    double wanted_calls_per_s = 0;
    double sent_calls_per_s = 0;

    endpoint_load& operator+=(const endpoint_load& other) {
        writing += other.writing;
        waiting += other.waiting;
        waiting_prompt_tokens += other.waiting_prompt_tokens;
        wanted_calls_per_s += other.wanted_calls_per_s;
        sent_calls_per_s += other.sent_calls_per_s;
        return *this;
    }
    /// Takes `other` off, down to 0: the two may have been counted at different times.
    endpoint_load& operator-=(const endpoint_load& other) {
        writing -= std::min(writing, other.writing);
        waiting -= std::min(waiting, other.waiting);
        waiting_prompt_tokens = std::max(0.0, waiting_prompt_tokens - other.waiting_prompt_tokens);
        wanted_calls_per_s = std::max(0.0, wanted_calls_per_s - other.wanted_calls_per_s);
        sent_calls_per_s = std::max(0.0, sent_calls_per_s - other.sent_calls_per_s);
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
    /// The same by the urgency of the calls, measured over a shorter time. Includes the calls
    /// that were refused for want of capacity.
    urgency_amounts demand{};
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

    friend bool operator==(const runner_observation&, const runner_observation&) = default;
};

/// A runner that said in an answer that it is about to stop.
struct leaving_runner {
    endpoint_id id;
    std::uint64_t started_ms = 0; ///< of the incarnation that leaves

    friend bool operator==(const leaving_runner&, const leaving_runner&) = default;
};

/// The rate of calls that a runner named in an answer, or that it no longer names one.
struct call_rate_notice {
    endpoint_id id;
    std::uint64_t started_ms = 0;      ///< of the incarnation that answered
    std::optional<double> calls_per_s; ///< from all hosts together; empty: no limit
    milliseconds age{0};               ///< of the answer

    friend bool operator==(const call_rate_notice&, const call_rate_notice&) = default;
};

/// The hosts whose calls the loads and the work of a digest include.
enum class digest_scope {
    member,       ///< the sender alone; sent to the hub that it reports to
    hub,          ///< the sender and the members that report to it; sent to the other hubs
    fleet,        ///< all hosts; sent by a hub to its members
    probe,        ///< none; asks a silent host for an introduction
    introduction, ///< none; makes the sender known to a host that it exchanges no loads with
};

template <>
struct enum_table<digest_scope> {
    static constexpr std::array rows{
        enum_name<digest_scope>{digest_scope::member, "member"},
        enum_name<digest_scope>{digest_scope::hub, "hub"},
        enum_name<digest_scope>{digest_scope::fleet, "fleet"},
        enum_name<digest_scope>{digest_scope::probe, "probe"},
        enum_name<digest_scope>{digest_scope::introduction, "introduction"},
    };
};

/// An entry host as the others know it before it sends a digest.
struct host_entry {
    std::string name;
    member_address address;
    availability_zone_id availability_zone; ///< empty until known
    double processor_share = 0;             ///< processor cores that the host may use
};

/// The digest of one host.
struct peer_digest {
    /// Value of `part` in a datagram that carries only observations.
    static constexpr std::uint8_t observations_only = 255;
    /// Value of `part` in a datagram that carries only notices: crashes, leaving runners and
    /// rates of calls.
    static constexpr std::uint8_t notices_only = 254;

    host_entry host;               ///< the sender
    std::uint64_t incarnation = 0; ///< of the sender's process; increases with each start
    std::uint8_t part = 0;         ///< index of this datagram when the lists are split over several
    digest_scope scope = digest_scope::member;
    store_version operators_version{}; ///< highest version of a row of the operators' table
    store_version runners_version{};   ///< highest version of a row of the runners' table
    /// The operators' own version of the configuration in force. A restored store may hold an
    /// older one, so the versions of its rows do not show which host has the newest.
    std::uint64_t configuration_version = 0;
    /// Time since the store last answered the sender itself. What a host knows of the store's
    /// answers to others is never stated as its own: an age that hosts pass around grows younger
    /// by the time of each transfer.
    milliseconds store_answer_age = max_duration;
    /// Time since the store last answered a hub, as that hub has told the sender.
    milliseconds hub_answer_age = max_duration;
    /// The sender hears other hubs, and one of them or the sender has lost the store. For members.
    bool is_store_in_doubt = false;
    bool has_lost_store = false;    ///< the store refuses the sender's calls or does not answer
    bool is_controller = false;     ///< the sender holds the lease on the groups
    milliseconds controller_age{0}; ///< time since the sender heard the controller
    std::uint32_t host_count = 1;   ///< entry hosts that the sender knows of
    std::uint32_t heard_hosts = 1;  ///< those of them whose loads reach the sender now
    std::vector<host_entry> peers;  ///< some of the hosts that the sender knows
    std::vector<endpoint_load_entry> loads;
    std::vector<model_work> work;
    /// The controller sends heads and silent runners. Other hosts send runners
    /// that did not answer them, and those in `runners_to_confirm` that did.
    std::vector<runner_observation> observations;
    /// Sent by the controller: runners that did not answer it. The other hubs request
    /// reports from them too.
    std::vector<endpoint_id> runners_to_confirm;
    /// Runners of which the sender has learned lately that they leave. Receivers pass on those
    /// that are new to them.
    std::vector<leaving_runner> leaving_runners;
    /// Rates that runners have lately begun or ceased to name. Receivers pass on those that are
    /// new to them.
    std::vector<call_rate_notice> call_rates;
    /// Notices that the sender made or received lately. Receivers pass on those that are
    /// new to them.
    std::vector<crash_notice> crash_notices;

    /// Returns whether the lists that the datagram does not carry are left out, rather than
    /// empty.
    [[nodiscard]] bool is_excerpt() const {
        return part == observations_only || part == notices_only;
    }
};

} // namespace savoryrelay::state
