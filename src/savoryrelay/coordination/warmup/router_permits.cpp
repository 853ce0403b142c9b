// Implements the permits of a router.
#include "savoryrelay/coordination/warmup/router_permits.h"

#include <algorithm>
#include <utility>

namespace savoryrelay::coordination {
namespace {

// A grant without permits is removed after this number of usage reports.
constexpr std::uint32_t max_final_reports = 3;

} // namespace

router_permits::router_permits(warmup_settings settings, warmup_hooks hooks,
                               state::member_id router, std::uint64_t incarnation)
    : m_settings(settings), m_hooks(std::move(hooks)), m_router(std::move(router)),
      m_incarnation(incarnation) {}

permit_request router_permits::request_permits(const state::endpoint_id& endpoint,
                                               std::uint32_t wanted, state::time_point now) {
    return m_endpoints.update(endpoint, [&](endpoint_row& row) {
        permit_request request{m_router, m_incarnation, ++row.last_number, endpoint, wanted};
        row.grants.push_back({request, now, now, false, 0, 0, 0, 0});
        return request;
    });
}

void router_permits::receive(const permit_reply& reply, state::time_point now) {
    // Calls the hook outside the shard's lock, with a copy of the time at which the
    // request was sent.
    const auto row = m_endpoints.find(reply.request.endpoint);
    if (!row || reply.request.router != m_router || reply.request.incarnation != m_incarnation) {
        return;
    }
    const auto number = reply.request.number;
    const auto is_pending = [number](const held_grant& grant) {
        return grant.request.number == number && !grant.received;
    };
    const auto pending = std::find_if(row->grants.begin(), row->grants.end(), is_pending);
    if (pending == row->grants.end()) {
        return;
    }
    const auto usable_until = m_hooks.usable_until(m_settings, pending->sent, now);
    m_endpoints.update_existing(reply.request.endpoint, [&](endpoint_row& changed) {
        for (auto& grant : changed.grants) {
            if (is_pending(grant)) {
                grant.received = true;
                grant.unused = std::min(reply.granted, grant.request.wanted);
                grant.usable_until = usable_until;
            }
        }
    });
}

std::optional<std::uint64_t> router_permits::start(const state::endpoint_id& endpoint,
                                                   state::time_point now) {
    std::optional<std::uint64_t> number;
    m_endpoints.update_existing(endpoint, [&](endpoint_row& row) {
        for (auto& grant : row.grants) {
            if (!number && grant.unused > 0 && now < grant.usable_until) {
                --grant.unused;
                ++grant.in_use;
                number = grant.request.number;
            }
        }
    });
    return number;
}

void router_permits::finish(const state::endpoint_id& endpoint, std::uint64_t number,
                            bool completed) {
    m_endpoints.update_existing(endpoint, [&](endpoint_row& row) {
        for (auto& grant : row.grants) {
            if (grant.request.number == number && grant.in_use > 0) {
                --grant.in_use;
                ++grant.unused;
                grant.completed += completed ? 1 : 0;
            }
        }
    });
}

std::uint32_t router_permits::usable(const state::endpoint_id& endpoint,
                                     state::time_point now) const {
    std::uint32_t total = 0;
    const auto row = m_endpoints.find(endpoint);
    if (row) {
        for (const auto& grant : row->grants) {
            total += now < grant.usable_until ? grant.unused : 0;
        }
    }
    return total;
}

std::vector<permit_usage> router_permits::report_usage(const state::endpoint_id& endpoint,
                                                       bool return_unused, state::time_point now) {
    std::vector<permit_usage> reports;
    m_endpoints.update_existing(endpoint, [&](endpoint_row& row) {
        for (auto& grant : row.grants) {
            if (!grant.received) {
                if (now < grant.sent + m_settings.reply_timeout) {
                    continue;
                }
                grant.received = true; // a later reply is ignored
            }
            if (return_unused || now >= grant.usable_until) {
                grant.unused = 0;
            }
            reports.push_back({grant.request, grant.unused + grant.in_use, grant.completed});
            grant.final_reports += grant.unused + grant.in_use == 0 ? 1 : 0;
        }
        std::erase_if(row.grants, [](const held_grant& grant) {
            return grant.final_reports >= max_final_reports;
        });
    });
    return reports;
}

void router_permits::discard_unused(const state::endpoint_id& endpoint) {
    m_endpoints.update_existing(endpoint, [](endpoint_row& row) {
        for (auto& grant : row.grants) {
            grant.unused = 0;
        }
    });
}

} // namespace savoryrelay::coordination
