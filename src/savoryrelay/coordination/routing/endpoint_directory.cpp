// Rows of a deployment's endpoints in shards.
#include "savoryrelay/coordination/routing/endpoint_directory.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::endpoint_phase;

// Weight of a new observation of the token interval: a straggler shows after
// about ten tokens, and one slow token changes the value by a tenth.
constexpr double interval_smoothing = 0.1;

bool needs_permit(const route_row& row) {
    const auto phase = row.state.phase;
    return row.cold_permits && (phase == endpoint_phase::cold || phase == endpoint_phase::warming);
}

} // namespace

endpoint_directory::endpoint_directory(std::vector<route_row> rows, route_weights weights,
                                       std::size_t digests_per_slot)
    : m_count(rows.size()), m_weights(weights), m_prefixes(digests_per_slot) {
    for (std::size_t slot = 0; slot < rows.size(); ++slot) {
        m_shards.at(slot % shard_count).rows.push_back(rows[slot]);
    }
    refresh();
}

route_row endpoint_directory::read(std::uint32_t slot) const {
    const auto& shard = m_shards.at(slot % shard_count);
    const std::scoped_lock lock(shard.mutex);
    return shard.rows.at(slot / shard_count);
}

state::result<std::uint32_t> endpoint_directory::begin(slot_request request, state::time_point now,
                                                       random_source& random) {
    const auto hooks = view();
    for (;;) {
        BOOST_LEAF_AUTO(slot, choose_slot(hooks, request, m_weights, now, random));
        const bool taken = change_row(slot, [&](route_row& row) {
            // The row may have changed since the decision read it.
            if (!may_take(row, request.needs, m_weights, now)) {
                return false;
            }
            if (needs_permit(row)) {
                --*row.cold_permits;
            }
            ++row.state.in_flight;
            ++row.state.sent_since_report;
            return true;
        });
        if (taken) {
            if (!request.prefix.empty() && m_weights.prefix_bonus > 0) {
                m_prefixes.learn(slot, request.prefix);
            }
            return slot;
        }
        request.excluded.push_back(slot);
    }
}

void endpoint_directory::end(std::uint32_t slot) {
    change_row(slot, [](route_row& row) {
        row.state.in_flight -= row.state.in_flight > 0 ? 1 : 0;
        ++row.state.ended_since_report;
    });
}

void endpoint_directory::report(std::uint32_t slot, const state::load_report& report) {
    change_row(slot, [&](route_row& row) {
        row.state.report = report;
        row.state.sent_since_report = 0;
        row.state.ended_since_report = 0;
    });
}

void endpoint_directory::observe_token_interval(std::uint32_t slot, double interval_ms) {
    change_row(slot, [&](route_row& row) {
        auto& smoothed = row.state.token_interval_ms;
        smoothed =
            smoothed > 0 ? smoothed + interval_smoothing * (interval_ms - smoothed) : interval_ms;
    });
}

bool endpoint_directory::set_phase(std::uint32_t slot, endpoint_phase phase) {
    const bool changed = change_row(slot, [&](route_row& row) {
        if (!state::is_allowed(row.state.phase, phase)) {
            return false;
        }
        row.state.phase = phase;
        if (phase == endpoint_phase::cold && row.cold_permits) {
            row.cold_permits = 0;
        }
        return true;
    });
    if (changed && (phase == endpoint_phase::cold || phase == endpoint_phase::down)) {
        m_prefixes.forget(slot);
    }
    return changed;
}

void endpoint_directory::set_cold_permits(std::uint32_t slot, std::uint32_t permits) {
    change_row(slot, [&](route_row& row) { row.cold_permits = permits; });
}

void endpoint_directory::set_zone_drained(std::uint32_t zone, bool drained, state::time_point now) {
    for (std::uint32_t slot = 0; slot < m_count; ++slot) {
        const bool returned = change_row(slot, [&](route_row& row) {
            if (row.zone != zone || row.zone_drained == drained) {
                return false;
            }
            row.zone_drained = drained;
            row.zone_returned_at = drained ? std::nullopt : std::optional(now);
            return !drained;
        });
        if (returned) {
            set_phase(slot, endpoint_phase::cold);
        }
    }
}

void endpoint_directory::refresh() {
    double load = 0;
    std::vector<double> intervals;
    for (const auto& shard : m_shards) {
        const std::scoped_lock lock(shard.mutex);
        for (const auto& row : shard.rows) {
            load += believed_load(row, m_weights, route_priority::normal) /
                    static_cast<double>(row.capacity);
            if (row.state.token_interval_ms > 0) {
                intervals.push_back(row.state.token_interval_ms);
            }
        }
    }
    m_mean_load = m_count == 0 ? 0 : load / static_cast<double>(m_count);
    if (!intervals.empty()) {
        const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
        std::nth_element(intervals.begin(), middle, intervals.end());
        m_median_token_interval_ms = *middle;
    }
}

route_view endpoint_directory::view() const {
    route_view hooks;
    hooks.count = m_count;
    hooks.read = [this](std::uint32_t slot) { return read(slot); };
    hooks.find_prefix = [this](const std::vector<std::uint64_t>& prefix) {
        return m_prefixes.find(prefix);
    };
    hooks.summary = {m_mean_load.load(), m_median_token_interval_ms.load()};
    return hooks;
}

} // namespace savoryrelay::coordination
