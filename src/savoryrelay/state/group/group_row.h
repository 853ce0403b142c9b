// The rows of groups and host claims in the platform's table.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// The states of a group.
enum class group_state {
    forming,    ///< hosts are claimed; their engines receive the order to join
    loading,    ///< every engine has joined; weights are loading
    serving,    ///< every engine had loaded its weights when the state was written
    draining,   ///< finishes its requests and receives no new ones
    dissolving, ///< engines receive the order to leave
    dissolved,  ///< hosts are released; the row is deleted later
};

template <>
struct enum_table<group_state> {
    static constexpr std::array rows{
        enum_name<group_state>{group_state::forming, "forming"},
        enum_name<group_state>{group_state::loading, "loading"},
        enum_name<group_state>{group_state::serving, "serving"},
        enum_name<group_state>{group_state::draining, "draining"},
        enum_name<group_state>{group_state::dissolving, "dissolving"},
        enum_name<group_state>{group_state::dissolved, "dissolved"},
    };
};

/// A group returns to `forming` under a new generation when a host is replaced or its engines
/// have to join again.
/// Only a serving group drains; one that never served has no request to finish.
template <>
struct transition_table<group_state> {
    using s = group_state;
    static constexpr std::array rows{
        transition<s>{s::forming, s::loading},     transition<s>{s::forming, s::dissolving},
        transition<s>{s::loading, s::serving},     transition<s>{s::loading, s::forming},
        transition<s>{s::loading, s::dissolving},  transition<s>{s::serving, s::forming},
        transition<s>{s::serving, s::draining},    transition<s>{s::serving, s::dissolving},
        transition<s>{s::draining, s::dissolving}, transition<s>{s::dissolving, s::dissolved},
    };
};

/// The row `group/<id>`.
/// Invariant: until the group is dissolved, each of `hosts` has a claim row
/// that names this group. `generation` increases whenever `hosts` changes or the group
/// returns to `forming`.
struct group_row {
    group_id id;
    deployment_id deployment;
    std::string model_version;
    group_state state = group_state::forming;
    std::uint64_t generation = 1;
    availability_zone_id availability_zone;
    fabric_domain_id fabric_domain;
    std::vector<host_id> hosts; ///< 1 to 16 hosts; the first one is the head
};

/// The row `host/<id>` of a host that belongs to a group. A free host has no row.
struct host_claim {
    host_id host;
    group_id group;
};

/// A decoded row with the version that a later transaction checks.
template <typename Row>
struct versioned {
    Row row;
    std::uint64_t version = 0;
};

} // namespace savoryrelay::state
