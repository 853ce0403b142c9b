// Grants and their expiry at the lease holder.
#include "savoryrelay/coordination/warmup/allowance_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryrelay::coordination {
namespace {

bool is_same(const permit_request& a, const permit_request& b) {
    return a.number == b.number && a.incarnation == b.incarnation && a.router == b.router;
}

} // namespace

allowance_ledger::allowance_ledger(warmup_settings settings, warmup_hooks hooks,
                                   state::time_point taken_over, bool has_predecessor)
    : m_settings(settings), m_hooks(std::move(hooks)), m_taken_over(taken_over),
      m_has_predecessor(has_predecessor) {
    assert(m_settings.cold_allowance >= 1 && "an allowance of 0 can never grow");
}

permit_reply allowance_ledger::grant(const permit_request& request, state::time_point lease_until,
                                     state::time_point now) {
    permit_reply reply{request, 0};
    if (now >= lease_until) {
        return reply;
    }
    // Hooks run before the shard is locked.
    const auto successor_from = m_hooks.successor_grants_from(m_settings, m_taken_over);
    const auto counted_until = m_hooks.counted_until(m_settings, now);
    m_endpoints.update(request.endpoint, [&](endpoint_row& row) {
        if (m_has_predecessor && !row.predecessor_is_over && now < successor_from) {
            return;
        }
        std::erase_if(row.grants, [&](const grant_row& grant) { return now >= grant.until; });

        // A repeated request is answered as before and counted once.
        std::uint32_t counted = 0;
        for (const auto& grant : row.grants) {
            if (is_same(grant.request, request)) {
                reply.granted = grant.granted;
                return;
            }
            counted += grant.counted;
        }

        const auto allowed = allowance_of(row);
        reply.granted = counted < allowed ? std::min(request.wanted, allowed - counted) : 0;
        if (reply.granted > 0) {
            row.grants.push_back({request, reply.granted, 0, reply.granted, counted_until});
        }
    });
    return reply;
}

void allowance_ledger::settle(const permit_account& account, state::time_point now) {
    m_endpoints.update_existing(account.request.endpoint, [&](endpoint_row& row) {
        for (auto& grant : row.grants) {
            if (!is_same(grant.request, account.request) || now >= grant.until) {
                continue;
            }
            grant.counted = std::min(grant.counted, account.kept);
            if (account.completed > grant.completed) {
                row.gained += m_settings.growth_per_completion *
                              static_cast<double>(account.completed - grant.completed);
                grant.completed = account.completed;
            }
        }
    });
}

void allowance_ledger::note_running(const state::endpoint_id& endpoint, std::uint32_t running,
                                    state::time_point now) {
    // While a permit of the predecessor may still start a request, an idle
    // endpoint proves nothing.
    if (running == 0 && now >= m_taken_over + m_settings.term + m_settings.margin) {
        m_endpoints.update(endpoint, [](endpoint_row& row) { row.predecessor_is_over = true; });
    }
}

void allowance_ledger::restart(const state::endpoint_id& endpoint) {
    m_endpoints.update(endpoint, [](endpoint_row& row) { row.gained = 0; });
}

std::uint32_t allowance_ledger::allowance_of(const endpoint_row& row) const {
    const auto grown = m_settings.cold_allowance + static_cast<std::uint64_t>(row.gained);
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(grown, std::max(m_settings.capacity, m_settings.cold_allowance)));
}

std::uint32_t allowance_ledger::allowance(const state::endpoint_id& endpoint) const {
    const auto row = m_endpoints.find(endpoint);
    return allowance_of(row.value_or(endpoint_row{}));
}

bool allowance_ledger::is_warm(const state::endpoint_id& endpoint) const {
    return allowance(endpoint) >= m_settings.capacity;
}

} // namespace savoryrelay::coordination
