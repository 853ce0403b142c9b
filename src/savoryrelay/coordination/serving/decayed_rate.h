// A rate of events, as an average in which older events count less.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <chrono>
#include <cmath>
#include <numbers>

namespace savoryrelay::coordination {

/// Exponentially decayed average of the rate of events. Not thread-safe.
class decayed_rate {
public:
    /// An event counts half after `half_life`, which must be the same in all calls between which
    /// the rate is to be continuous.
    void note(state::time_point now, state::milliseconds half_life) {
        m_per_s = per_s(now, half_life) + std::numbers::ln2 / to_seconds(half_life);
        m_at = now;
    }
    /// Goes on with another half life.
    void change_half_life(state::time_point now, state::milliseconds previous) {
        m_per_s = per_s(now, previous);
        m_at = now;
    }
    /// Returns the events a second.
    [[nodiscard]] double per_s(state::time_point now, state::milliseconds half_life) const {
        return m_per_s * std::exp2(-to_seconds(now - m_at) / to_seconds(half_life));
    }

private:
    static double to_seconds(state::time_point::duration span) {
        return std::chrono::duration<double>(span).count();
    }

    double m_per_s = 0; // at m_at
    state::time_point m_at{};
};

} // namespace savoryrelay::coordination
