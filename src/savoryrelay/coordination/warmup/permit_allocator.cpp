// Implements the grants of the lease holder and their expiry.
#include "savoryrelay/coordination/warmup/permit_allocator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryrelay::coordination {
namespace {

bool is_same_request(const permit_request& a, const permit_request& b) {
    return a.number == b.number && a.incarnation == b.incarnation && a.router == b.router;
}

} // namespace

permit_allocator::permit_allocator(warmup_settings settings, warmup_hooks hooks,
                                   state::time_point lease_acquired_at, bool has_predecessor)
    : m_settings(settings), m_hooks(std::move(hooks)), m_lease_acquired_at(lease_acquired_at),
      m_has_predecessor(has_predecessor) {
    assert(m_settings.cold_allowance >= 1 && "an allowance of 0 can never grow");
}

permit_reply permit_allocator::grant(const permit_request& request, state::time_point lease_until,
                                     state::time_point now) {
    permit_reply reply{request, 0};
    if (now >= lease_until) {
        return reply;
    }
    // Calls the hooks before the shard is locked.
    const auto successor_from = m_hooks.successor_grants_from(m_settings, m_lease_acquired_at);
    const auto counted_until = m_hooks.counted_until(m_settings, now);
    m_endpoints.update(request.endpoint, [&](endpoint_row& row) {
        if (m_has_predecessor && !row.predecessor_finished && now < successor_from) {
            return;
        }
        std::erase_if(row.grants, [&](const grant_row& grant) { return now >= grant.until; });

        // A repeated request gets the same reply and counts once.
        std::uint32_t counted = 0;
        for (const auto& grant : row.grants) {
            if (is_same_request(grant.request, request)) {
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

void permit_allocator::settle(const permit_usage& usage, state::time_point now) {
    m_endpoints.update_existing(usage.request.endpoint, [&](endpoint_row& row) {
        for (auto& grant : row.grants) {
            if (!is_same_request(grant.request, usage.request) || now >= grant.until) {
                continue;
            }
            grant.counted = std::min(grant.counted, usage.remaining);
            if (usage.completed > grant.completed) {
                row.growth += m_settings.growth_per_completion *
                              static_cast<double>(usage.completed - grant.completed);
                grant.completed = usage.completed;
            }
        }
    });
}

void permit_allocator::report_running(const state::endpoint_id& endpoint, std::uint32_t running,
                                      state::time_point now) {
    // Ignores an idle report while a permit of the predecessor may still start a
    // request.
    if (running == 0 && now >= m_lease_acquired_at + m_settings.term + m_settings.margin) {
        m_endpoints.update(endpoint, [](endpoint_row& row) { row.predecessor_finished = true; });
    }
}

void permit_allocator::reset_allowance(const state::endpoint_id& endpoint) {
    m_endpoints.update(endpoint, [](endpoint_row& row) { row.growth = 0; });
}

std::uint32_t permit_allocator::allowance_of(const endpoint_row& row) const {
    const auto uncapped = m_settings.cold_allowance + static_cast<std::uint64_t>(row.growth);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        uncapped, std::max(m_settings.capacity, m_settings.cold_allowance)));
}

std::uint32_t permit_allocator::allowance(const state::endpoint_id& endpoint) const {
    const auto row = m_endpoints.find(endpoint);
    return allowance_of(row.value_or(endpoint_row{}));
}

bool permit_allocator::is_warm(const state::endpoint_id& endpoint) const {
    return allowance(endpoint) >= m_settings.capacity;
}

} // namespace savoryrelay::coordination
