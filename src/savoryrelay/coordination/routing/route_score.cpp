// Computes the eligibility and the score of one endpoint.
#include "savoryrelay/coordination/routing/route_score.h"

#include <algorithm>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

using state::endpoint_phase;

// Weights of an engine's queued requests. An engine starts an interactive
// request before most of its queue; it starts a batch request after its queue
// and also after requests that arrive later.
struct queue_weight {
    route_priority priority;
    double weight;
};
constexpr std::array queue_weights{
    queue_weight{route_priority::batch, 1.5},
    queue_weight{route_priority::normal, 1.0},
    queue_weight{route_priority::interactive, 0.25},
};

bool is_cold(endpoint_phase phase) {
    return phase == endpoint_phase::cold || phase == endpoint_phase::warming;
}

} // namespace

double zone_share(const route_row& row, const route_weights& weights, state::time_point now) {
    if (row.drained || row.zone_drained) {
        return 0.0;
    }
    if (!row.zone_returned_at || weights.zone_ramp.count() <= 0) {
        return 1.0;
    }
    using seconds = std::chrono::duration<double>;
    const double elapsed = seconds(now - *row.zone_returned_at).count();
    return std::clamp(elapsed / seconds(weights.zone_ramp).count(), 0.0, 1.0);
}

bool can_accept(const route_row& row, const route_needs& needs, const route_weights& weights,
                state::time_point now) {
    const auto phase = row.state.phase;
    if (phase == endpoint_phase::leaving ||
        (phase == endpoint_phase::down && now < row.state.retry_at)) {
        return false;
    }
    if (is_cold(phase) && row.cold_permits.value_or(1) == 0) {
        return false;
    }
    if (needs.version != 0 && row.version != 0 && needs.version != row.version) {
        return false;
    }
    return zone_share(row, weights, now) > 0.0;
}

double estimated_load(const route_row& row, const route_weights& weights, route_priority priority) {
    const auto& known_state = row.state;
    const double queued = static_cast<double>(known_state.report.queued) *
                          queue_weights.at(static_cast<std::size_t>(priority)).weight;
    const double reported = static_cast<double>(known_state.report.running) + queued;
    if (!weights.use_load_corrections) {
        return reported;
    }
    const double corrected = reported + static_cast<double>(known_state.sent_since_report) -
                             static_cast<double>(known_state.ended_since_report);
    return std::max(corrected, static_cast<double>(known_state.in_flight));
}

double score_of(const route_row& row, const route_needs& needs, const route_summary& summary,
                const route_weights& weights, state::time_point now, double prefix_fraction,
                bool is_home) {
    // The load includes the new request, so that a small or ramping capacity
    // raises the score even while the endpoint is empty.
    const double usable = static_cast<double>(row.capacity) * zone_share(row, weights, now);
    const double load = (estimated_load(row, weights, needs.priority) + 1.0) / usable;

    double slowness = 1.0;
    if (row.state.token_interval_ms > 0 && summary.median_token_interval_ms > 0) {
        slowness = std::clamp(row.state.token_interval_ms / summary.median_token_interval_ms, 1.0,
                              std::max(weights.max_slowdown_factor, 1.0));
    }
    double score = load * slowness;

    score += row.zone == needs.zone ? 0.0 : weights.zone_cost;
    score += (row.adapters & needs.adapter) == needs.adapter ? 0.0 : weights.adapter_cost;

    // Above the load limit, a cached prefix saves less time than the longer queue
    // costs.
    if (load <= weights.prefix_load_limit * std::max(summary.mean_load, 1.0 / usable)) {
        score -=
            std::max(prefix_fraction * weights.prefix_bonus, is_home ? weights.home_bonus : 0.0);
    }
    return score;
}

} // namespace savoryrelay::coordination
