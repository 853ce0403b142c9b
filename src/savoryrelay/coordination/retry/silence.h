// Decides what a call does while its endpoint is silent or sends bytes without progress, and
// until when an answer is read.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <functional>
#include <optional>

namespace savoryrelay::coordination {

/// What a call does while its current endpoint is silent for too long.
enum class silence_step {
    wait,      ///< it waits for this endpoint
    hand_over, ///< it keeps this attempt open and turns to another endpoint
    give_up,   ///< the attempt has failed, since the endpoint cannot answer any more
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::silence_step> {
    using s = savoryrelay::coordination::silence_step;
    static constexpr std::array rows{
        enum_name<s>{s::wait, "wait"},
        enum_name<s>{s::hand_over, "hand_over"},
        enum_name<s>{s::give_up, "give_up"},
    };
};

namespace savoryrelay::coordination {

/// Facts on which the decision about a silent endpoint depends, each read only when needed.
struct silence_hooks {
    /// Returns whether the caller is gone or the deadline has passed.
    std::function<bool()> is_over;
    /// Returns whether an endpoint that was kept before has sent something meanwhile.
    std::function<bool()> has_kept_answer;
    /// Selects the endpoint of another attempt and reserves the attempt.
    std::function<bool()> prepare_next;
    /// Returns whether the endpoint no longer serves.
    std::function<bool()> is_lost;
};

/// Decides what a call does while its current endpoint is silent for too long.
[[nodiscard]] silence_step decide_on_silence(const silence_hooks& hooks);

/// Detects an endpoint that goes on sending bytes that complete no event. An endpoint that is
/// silent within an event is judged by `decide_on_silence` instead, so its silence does not
/// count. Not thread-safe.
class trickle_detector {
public:
    /// A pause of `min_silence` or longer between two pieces counts as silence.
    explicit trickle_detector(state::milliseconds min_silence) : m_min_silence(min_silence) {}

    /// Records bytes that completed no event. Returns whether such bytes have arrived, without
    /// a silence, for `limit` or longer.
    [[nodiscard]] bool note_piece(state::time_point now, state::milliseconds limit);
    /// Records a new event.
    void note_event() { m_began_at.reset(); }

private:
    const state::milliseconds m_min_silence;
    std::optional<state::time_point> m_began_at; // first piece since the last event or silence
    state::time_point m_last_piece_at{};         // meaningful while m_began_at is set
};

/// Ends the reading of an answer at its deadline, however steadily its bytes arrive. What has
/// arrived by then is still read, also by a process that was paused beyond the deadline. Not
/// thread-safe.
class reading_limit {
public:
    explicit reading_limit(state::time_point deadline) : m_deadline(deadline) {}

    /// Returns whether the answer is no longer read. Call it before each read.
    [[nodiscard]] bool is_over(state::time_point now);

private:
    /// Time for which bytes that have arrived by the deadline are read after it.
    static constexpr state::milliseconds late_reading_time{100};

    const state::time_point m_deadline;
    std::optional<state::time_point> m_late_since; // time of the first read after the deadline
};

} // namespace savoryrelay::coordination
