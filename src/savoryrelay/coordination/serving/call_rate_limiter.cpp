// Computes the share of the wanted calls that may be sent, and counts it call by call.
#include "savoryrelay/coordination/serving/call_rate_limiter.h"

#include "savoryrelay/coordination/serving/cold_limit.h"
#include "savoryrelay/state/digest/digest.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

// The rates of the digests are late, so calls may have been sent beyond the limit. Then the share
// falls, down to 0 where the sent calls exceed it by this factor and this rate: at low limits, a
// single call exceeds them for a while.
constexpr double max_sent_factor = 1.4;
constexpr double max_sent_excess_per_s = 0.25;

} // namespace

double share_within_rate(double limit_per_s, double wanted_per_s, double sent_per_s) {
    const double limit = std::clamp(limit_per_s, min_call_rate_per_s, max_call_rate_per_s);
    const double max_sent_per_s = max_sent_factor * limit + max_sent_excess_per_s;
    const double correction =
        std::clamp((max_sent_per_s - sent_per_s) / (max_sent_per_s - limit), 0.0, 1.0);
    return correction * std::min(1.0, limit / std::max(wanted_per_s, limit));
}

double unheard_factor(std::size_t known, std::size_t heard) {
    const auto hosts = static_cast<double>(std::max<std::size_t>(known, 1));
    const auto counted = static_cast<double>(std::max<std::size_t>(heard, 1));
    return 2 * counted > hosts ? 1 : 2 * hosts / counted;
}

bool call_rate_limiter::admit(const runner_view& runner, state::time_point now) {
    const auto& limit = runner.call_rate.calls_per_s;
    if (!limit) {
        return true;
    }
    const auto& id = runner.record.id;
    // The rates before this call are what a call finds on average.
    const auto load = fleet_load(id, now);
    const double share = share_within_rate(*limit, load.wanted_calls_per_s, load.sent_calls_per_s);
    m_loads.note_wanted_call(id, *limit, now);
    const auto known = m_credits.find(id);
    const bool is_new = !known || known->started_ms != runner.record.started_ms;
    const double first_credit = is_new ? initial_credit(id) : 0;
    const bool is_admitted = m_credits.update(id, [&](call_credit& credit) {
        if (!credit.used_at || credit.started_ms != runner.record.started_ms) {
            credit = {runner.record.started_ms, first_credit, {}};
        }
        credit.used_at = now;
        credit.value += share;
        if (credit.value < 1) {
            return false;
        }
        credit.value -= 1;
        return true;
    });
    if (is_new) {
        m_credits.erase_if([&](const auto&, const call_credit& credit) {
            return credit.used_at && now - *credit.used_at > credit_retention;
        });
    }
    if (is_admitted) {
        m_loads.note_sent_call(id, now);
    }
    return is_admitted;
}

double call_rate_limiter::shortage(const runner_view& runner, state::time_point now) const {
    const auto limit = std::max(runner.call_rate.calls_per_s.value_or(0), min_call_rate_per_s);
    return std::max(1.0, fleet_load(runner.record.id, now).wanted_calls_per_s / limit);
}

double call_rate_limiter::initial_credit(const state::endpoint_id& endpoint) const {
    const auto hosts = m_hooks.host_hashes();
    const auto rank = host_rank(hosts, state::stable_hash(endpoint.value()));
    return static_cast<double>(rank) / static_cast<double>(hosts.size());
}

state::endpoint_load call_rate_limiter::fleet_load(const state::endpoint_id& endpoint,
                                                   state::time_point now) const {
    auto load = m_loads.load_of(endpoint, now);
    const double factor = unheard_factor(m_hooks.host_count(), m_hooks.heard_hosts(now));
    load.wanted_calls_per_s *= factor;
    load.sent_calls_per_s *= factor;
    return load;
}

} // namespace savoryrelay::coordination
