// Compares the expected downtime and stranded accelerators of each action.
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

state::milliseconds expected_time_to_return(const outage_model& model,
                                            state::milliseconds elapsed) {
    const double away_seconds = seconds(elapsed);
    const double restart = seconds(model.mean_restart);
    const double failure = seconds(model.mean_failure);
    // Weights of both causes, given that the host is still away. The exponents are
    // shifted by the smaller one, because an underflow of both weights would give 0 / 0.
    const double shift = away_seconds / std::max(restart, failure);
    const double restart_weight = model.restarts_per_day * std::exp(shift - away_seconds / restart);
    const double failure_weight = model.failures_per_day * std::exp(shift - away_seconds / failure);
    const double mean =
        (restart_weight * restart + failure_weight * failure) / (restart_weight + failure_weight);
    return std::chrono::duration_cast<state::milliseconds>(std::chrono::duration<double>(mean));
}

host_loss_estimate decide_host_loss(const host_loss_input& loss,
                                    const host_loss_settings& settings) {
    const double load_seconds = seconds(settings.load_time);
    const double reform_seconds = load_seconds + seconds(settings.reform_overhead);
    const double time_to_return =
        seconds(expected_time_to_return(settings.outages, loss.time_since_loss));
    const double accelerators = settings.accelerators_per_host;
    const double survivors = (loss.hosts - std::min(loss.missing, loss.hosts)) * accelerators;
    const double all = loss.hosts * accelerators;

    // A group waits for the last of its missing hosts. The mean of the largest of n
    // independent exponential times is their common mean times the sum of 1/k, k = 1..n.
    double last_return = 0.0;
    for (std::uint32_t k = 1; k <= loss.missing; ++k) {
        last_return += time_to_return / k;
    }
    std::vector<host_loss_estimate> options{{host_loss_action::wait, last_return + load_seconds,
                                             survivors * last_return + all * load_seconds}};
    if (loss.spares >= loss.missing && !loss.zone_drained) {
        options.push_back({host_loss_action::replace, load_seconds, all * load_seconds});
    }
    if (loss.fits_elsewhere) {
        options.push_back({host_loss_action::dissolve, reform_seconds, all * reform_seconds});
    } else if (loss.repairable_groups > 0) {
        // The survivors complete other groups, which then stop waiting. This group stays
        // down until its hosts return, as it would by waiting.
        const double saved = loss.repairable_groups * std::max(0.0, last_return - reform_seconds);
        options.push_back({host_loss_action::dissolve, last_return + reform_seconds - saved,
                           std::max(0.0, all * load_seconds - saved * survivors)});
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
