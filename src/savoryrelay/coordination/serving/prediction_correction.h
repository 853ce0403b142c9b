// Learns how far predicted first events are from those that come, because an
// engine has costs that it does not publish.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"

#include <string>

namespace savoryrelay::coordination {

/// A running mean of (measured - predicted) by model. Thread-safe.
class prediction_correction {
public:
    /// Weight of one measurement; 20 of them make most of the mean.
    static constexpr double weight = 0.05;
    /// Predictions beyond this mostly wait for a place, which is not corrected.
    static constexpr double longest_learned_ms = 600;

    /// A first event came `measured_ms` after the call was sent.
    void learn(const std::string& model, double predicted_ms, double measured_ms) {
        if (predicted_ms > longest_learned_ms) {
            return;
        }
        m_means.update(model, [&](mean& value) {
            const double error = measured_ms - predicted_ms;
            value.ms = value.is_new ? error : value.ms + weight * (error - value.ms);
            value.is_new = false;
        });
    }
    /// What to add to a prediction for `model`, in milliseconds.
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
