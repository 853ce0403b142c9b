// Times the events of one stream over all its attempts, and finds its longest pause.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <optional>

namespace savoryrelay::coordination {

/// Keeps the longest pause between two events of a stream. Not thread-safe.
class stream_timing {
public:
    /// Records that an event was received. Returns the time since the event before; nothing for
    /// the first event.
    std::optional<state::time_point::duration> note_event(state::time_point now) {
        const auto previous = m_last_event;
        m_last_event = now;
        if (!previous) {
            return std::nullopt;
        }
        const auto gap = now - *previous;
        if (!m_longest_gap || gap > *m_longest_gap) {
            m_longest_gap = gap;
            m_longest_gap_begin = *previous;
        }
        return gap;
    }

    /// Returns the longest pause; nothing before the second event.
    [[nodiscard]] std::optional<state::time_point::duration> longest_gap() const {
        return m_longest_gap;
    }
    /// Returns when the longest pause began.
    [[nodiscard]] state::time_point longest_gap_begin() const { return m_longest_gap_begin; }

private:
    std::optional<state::time_point> m_last_event;
    std::optional<state::time_point::duration> m_longest_gap;
    state::time_point m_longest_gap_begin{};
};

} // namespace savoryrelay::coordination
