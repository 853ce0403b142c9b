// A router's part of the cold allowance: the permits that it holds.
#pragma once

#include "savoryrelay/coordination/warmup/permit.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// The permits of one router by endpoint. Thread-safe.
class router_permits {
public:
    router_permits(warmup_settings settings, warmup_hooks hooks, state::member_id router,
                   std::uint64_t incarnation);

    /// Creates a request for permits and stores the time at which it is sent.
    [[nodiscard]] permit_request request_permits(const state::endpoint_id& endpoint,
                                                 std::uint32_t wanted, state::time_point now);
    /// Applies a reply. A reply without a pending request, or a repeated one, is
    /// ignored.
    void receive(const permit_reply& reply, state::time_point now);

    /// Takes a permit for one request, which must end within `longest_request`.
    /// Returns the number of the permit's grant, or nothing when there is no
    /// usable permit.
    [[nodiscard]] std::optional<std::uint64_t> start(const state::endpoint_id& endpoint,
                                                     state::time_point now);
    /// Releases the permit of grant `number` when its request has ended.
    void finish(const state::endpoint_id& endpoint, std::uint64_t number, bool completed);

    /// Returns the number of permits that could start a request at `now`.
    [[nodiscard]] std::uint32_t usable(const state::endpoint_id& endpoint,
                                       state::time_point now) const;

    /// Returns the usage reports of the endpoint's grants, to be sent to the
    /// holder. First abandons permit requests whose reply is overdue, and gives
    /// up the unused permits that have expired, or all unused permits if
    /// `return_unused` is true. A grant without permits is reported three times: if its only
    /// report were lost, the holder would count it until the longest request
    /// could have ended.
    [[nodiscard]] std::vector<permit_usage> report_usage(const state::endpoint_id& endpoint,
                                                         bool return_unused, state::time_point now);

    /// Removes all unused permits of an endpoint that is cold again.
    void discard_unused(const state::endpoint_id& endpoint);

private:
    struct held_grant {
        permit_request request;
        state::time_point sent;
        state::time_point usable_until;
        bool received = false;
        std::uint32_t unused = 0;
        std::uint32_t in_use = 0;
        std::uint32_t completed = 0;
        std::uint32_t final_reports = 0; ///< usage reports since no permit was left
    };
    struct endpoint_row {
        std::vector<held_grant> grants;
        std::uint64_t last_number = 0;
    };

    warmup_settings m_settings;
    warmup_hooks m_hooks;
    state::member_id m_router;
    std::uint64_t m_incarnation;
    state::sharded_map<state::endpoint_id, endpoint_row> m_endpoints;
};

} // namespace savoryrelay::coordination
