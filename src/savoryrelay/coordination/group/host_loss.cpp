// Comparison of the expected downtime and stranded accelerators of each action.
#include "savoryrelay/coordination/group/host_loss.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace savoryrelay::coordination {
namespace {

double seconds(state::milliseconds span) {
    return std::chrono::duration<double>(span).count();
}

} // namespace

state::milliseconds expected_return(const outage_model& model, state::milliseconds elapsed) {
    const double waited = seconds(elapsed);
    const double restart = seconds(model.mean_restart);
    const double failure = seconds(model.mean_failure);
    // Weights of both causes given that the host is still away. The smaller
    // exponent is taken out of both, so that neither underflows to 0 / 0.
    const double shift = waited / std::max(restart, failure);
    const double as_restart = model.restarts_per_day * std::exp(shift - waited / restart);
    const double as_failure = model.failures_per_day * std::exp(shift - waited / failure);
    const double mean = (as_restart * restart + as_failure * failure) / (as_restart + as_failure);
    return std::chrono::duration_cast<state::milliseconds>(std::chrono::duration<double>(mean));
}

host_loss_estimate decide_host_loss(const host_loss_case& loss,
                                    const host_loss_settings& settings) {
    const double load = seconds(settings.load_time);
    const double reform = load + seconds(settings.reform_extra);
    const double back = seconds(expected_return(settings.outages, loss.away));
    const double accelerators = settings.accelerators_per_host;
    const double survivors = (loss.hosts - std::min(loss.missing, loss.hosts)) * accelerators;
    const double all = loss.hosts * accelerators;

    // With several missing hosts the last one counts; the sum of 1/k is the
    // mean of the largest of independent exponential times.
    double slowest = 0.0;
    for (std::uint32_t k = 1; k <= loss.missing; ++k) {
        slowest += back / k;
    }
    std::vector<host_loss_estimate> options{
        {host_loss_action::wait, slowest + load, survivors * slowest + all * load}};
    if (loss.spares >= loss.missing && !loss.zone_drained) {
        options.push_back({host_loss_action::replace, load, all * load});
    }
    if (loss.place_elsewhere) {
        options.push_back({host_loss_action::dissolve, reform, all * reform});
    } else if (loss.repairable_peers > 0) {
        // The survivors end the wait of the peers; this group stays down until
        // its hosts return, as it would by waiting.
        const double gained = loss.repairable_peers * std::max(0.0, slowest - reform);
        options.push_back({host_loss_action::dissolve, slowest + reform - gained,
                           std::max(0.0, all * load - gained * survivors)});
    }
    const auto cost = [&](const host_loss_estimate& option) {
        return settings.group_weight * option.downtime_seconds +
               settings.accelerator_weight * option.stranded_accelerator_seconds;
    };
    return *std::min_element(
        options.begin(), options.end(),
        [&](const auto& left, const auto& right) { return cost(left) < cost(right); });
}

} // namespace savoryrelay::coordination
