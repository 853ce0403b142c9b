// A router's side of the cold allowance: the permits that it holds.
#pragma once

#include "savoryrelay/coordination/warmup/permit.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Permits of one router by endpoint. Thread-safe.
class permit_book {
public:
    permit_book(warmup_settings settings, warmup_hooks hooks, state::member_id router,
                std::uint64_t incarnation);

    /// Makes a request and notes when it was sent.
    [[nodiscard]] permit_request ask(const state::endpoint_id& endpoint, std::uint32_t wanted,
                                     state::time_point now);
    /// Takes over a reply. One that was not asked for, or comes twice, is ignored.
    void receive(const permit_reply& reply, state::time_point now);

    /// Takes a permit for one request, which must end within `longest_request`.
    /// Returns the number of its grant, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> start(const state::endpoint_id& endpoint,
                                                     state::time_point now);
    /// The request that took a permit of grant `number` ended.
    void finish(const state::endpoint_id& endpoint, std::uint64_t number, bool completed);

    /// Permits that could start a request at `now`.
    [[nodiscard]] std::uint32_t usable(const state::endpoint_id& endpoint,
                                       state::time_point now) const;

    /// Accounts of the endpoint's grants, to be sent to the holder. Unused
    /// permits that have passed, or all of them when `give_up_unused` is true,
    /// and requests whose reply is overdue are given up first. A grant without
    /// permits is accounted for three times, since a lost account would keep the
    /// holder counting it for the longest request.
    [[nodiscard]] std::vector<permit_account> account(const state::endpoint_id& endpoint,
                                                      bool give_up_unused, state::time_point now);

    /// Forgets all unused permits of an endpoint that is cold again.
    void restart(const state::endpoint_id& endpoint);

private:
    struct held_grant {
        permit_request request;
        state::time_point sent;
        state::time_point usable_until;
        bool received = false;
        std::uint32_t unused = 0;
        std::uint32_t in_use = 0;
        std::uint32_t completed = 0;
        std::uint32_t final_accounts = 0; ///< made since no permit was left
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
