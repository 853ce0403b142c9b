// Finds out whether a thread was paused, so that bytes which waited meanwhile are not passed on
// as if they were new.
#pragma once

#include "savoryrelay/state/core/time.h"

namespace savoryrelay::transport {

/// Compares the time between regular ticks of a thread with their interval. Used only on that
/// thread.
class pause_detector {
public:
    static constexpr state::milliseconds tick_interval{100};

    /// `max_gap` is the longest time between two ticks of a thread that was not paused.
    pause_detector(state::milliseconds max_gap, state::time_point now)
        : m_max_gap(max_gap), m_last_tick(now) {}

    /// Notes that the thread runs at `now`. Called each `tick_interval`.
    void tick(state::time_point now) {
        note(now);
        m_last_tick = now;
    }

    /// Returns whether bytes that are read at `now` may have arrived during a pause. They may
    /// until all sockets have been read that were readable when the pause ended.
    [[nodiscard]] bool may_be_late(state::time_point now) {
        note(now);
        return m_has_paused && now - m_resumed < reading_time;
    }

private:
    static constexpr state::milliseconds reading_time{100};

    void note(state::time_point now) {
        if (now - m_last_tick > m_max_gap) {
            m_has_paused = true;
            m_resumed = now;
        }
    }

    const state::milliseconds m_max_gap;
    state::time_point m_last_tick;
    state::time_point m_resumed{}; // valid if m_has_paused
    bool m_has_paused = false;
};

} // namespace savoryrelay::transport
