// Learns the mean error of predicted first-event times, because an engine has costs
// that are not in its published times.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"

#include <string>

namespace savoryrelay::coordination {

/// Keeps an exponential moving average of (measured - predicted) for each model.
/// Thread-safe.
class prediction_correction {
public:
    /// Weight of one measurement; the last 20 measurements make up most of the mean.
    static constexpr double weight = 0.05;
    /// Longer predictions consist mostly of waiting for a slot in the batch and are
    /// not learned from.
    static constexpr double max_learned_prediction_ms = 600;

    /// Records that a first event was received `measured_ms` after the call was sent.
    void learn(const std::string& model, double predicted_ms, double measured_ms) {
        if (predicted_ms > max_learned_prediction_ms) {
            return;
        }
        m_means.update(model, [&](mean& value) {
            const double error = measured_ms - predicted_ms;
            value.ms = value.is_new ? error : value.ms + weight * (error - value.ms);
            value.is_new = false;
        });
    }
    /// Returns the milliseconds to add to a prediction for `model`.
    [[nodiscard]] double correction_ms(const std::string& model) const {
        const auto value = m_means.find(model);
        return value ? value->ms : 0;
    }

private:
    struct mean {
        double ms = 0;
        bool is_new = true;
    };
    state::sharded_map<std::string, mean> m_means;
};

} // namespace savoryrelay::coordination
