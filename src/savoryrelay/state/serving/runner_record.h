// Data that a runner publishes about itself, in its entry on the platform or in a
// report, and the orders to it.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::state {

/// The state of a runner within its group.
enum class membership_state { joining, ready, open, closing, broken };

template <>
struct enum_table<membership_state> {
    static constexpr std::array rows{
        enum_name<membership_state>{membership_state::joining, "joining"},
        enum_name<membership_state>{membership_state::ready, "ready"},
        enum_name<membership_state>{membership_state::open, "open"},
        enum_name<membership_state>{membership_state::closing, "closing"},
        enum_name<membership_state>{membership_state::broken, "broken"},
    };
};

/// A runner's membership of a group.
struct group_membership {
    std::string group;
    std::uint64_t epoch = 0; ///< fencing number under which the group was formed
    std::uint32_t rank = 0;  ///< 0: the head, which takes the group's calls
    membership_state state = membership_state::joining;

    friend bool operator==(const group_membership&, const group_membership&) = default;
};

/// The last known data that a runner published about itself.
struct runner_record {
    endpoint_id id;
    std::string service;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    availability_zone_id availability_zone;
    fabric_domain_id fabric_domain;
    std::uint64_t started_ms = 0; ///< start of this incarnation, Unix milliseconds; 0 if unknown
    std::uint64_t sequence = 0;   ///< orders accepted by this incarnation; only reports carry it
    std::uint32_t slots = 1;
    bool is_draining = false;
    milliseconds cold_remaining{0};  ///< time until the runner is no longer cold
    std::string model;               ///< of the group that it is in or joins; empty: none
    std::vector<std::string> staged; ///< models whose weights are on its host
    std::optional<group_membership> membership;

    /// Returns whether the weights of the model `name` are on the runner's host.
    [[nodiscard]] bool has_staged(std::string_view name) const {
        return std::find(staged.begin(), staged.end(), name) != staged.end();
    }
    /// Returns whether the runner is the first member of its group.
    [[nodiscard]] bool is_head() const { return membership && membership->rank == 0; }
    /// Returns whether the runner takes calls as the head of an open group.
    [[nodiscard]] bool is_open_head() const {
        return is_head() && membership->state == membership_state::open;
    }
};

/// A runner's report, which updates its record. Its data is a few hundred milliseconds
/// old.
struct runner_report {
    std::optional<std::uint64_t> started_ms;
    std::optional<std::uint64_t> sequence;
    std::optional<std::string> model;
    std::optional<std::vector<std::string>> staged;
    std::optional<group_membership> membership; ///< empty: in no group
    bool is_order_in_progress = false;
    std::uint32_t queued = 0;
    std::uint32_t active = 0;
    double time_factor = 1; ///< slowdown factor; above 1 when the runner is slow
    milliseconds cold_remaining{0};
};

/// The action that an order requests from a runner.
enum class runner_order_kind { join, open, close_after_queue, close_now, leave, stage };

template <>
struct enum_table<runner_order_kind> {
    using k = runner_order_kind;
    static constexpr std::array rows{
        enum_name<k>{k::join, "join"},
        enum_name<k>{k::open, "open"},
        enum_name<k>{k::close_after_queue, "close_after_queue"},
        enum_name<k>{k::close_now, "close_now"},
        enum_name<k>{k::leave, "leave"},
        enum_name<k>{k::stage, "stage"},
    };
};

/// An order to one runner. It takes effect only if the runner's current incarnation
/// has accepted exactly `expected_sequence` orders, so a delayed copy is harmless.
struct runner_order {
    endpoint_id runner;
    runner_order_kind kind = runner_order_kind::join;
    std::uint64_t expected_sequence = 0;
    std::uint64_t fencing_number = 0;
    std::string group;
    std::uint64_t epoch = 0; ///< of the group
    std::string model;
    std::vector<endpoint_id> members; ///< for `join` orders; the first is the head
};

/// The result of an order.
enum class runner_order_result {
    accepted,
    holds_already, ///< the runner is in the requested state; also the answer to `leave`
    does_not_fit,  ///< refused for any reason but `outdated`, usually the runner's state
    outdated,      ///< refused because the order's epoch is older than the runner's
    unknown        ///< no answer was received
};

template <>
struct enum_table<runner_order_result> {
    using r = runner_order_result;
    static constexpr std::array rows{
        enum_name<r>{r::accepted, "accepted"},
        enum_name<r>{r::holds_already, "holds_already"},
        enum_name<r>{r::does_not_fit, "does_not_fit"},
        enum_name<r>{r::outdated, "outdated"},
        enum_name<r>{r::unknown, "unknown"},
    };
};

} // namespace savoryrelay::state
