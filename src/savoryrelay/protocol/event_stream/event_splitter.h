// Splits a stream of server-sent events at event boundaries, so that whole
// events are relayed and their numbers are known when a stream must resume.
#pragma once

#include "savoryrelay/state/core/failure.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Collects bytes of an event stream and hands out whole events. Each event of
/// an engine carries `id: N`, its token number, counted from 0.
/// Invariant: holds at most `max_event_bytes` of an event that is not whole.
class event_splitter {
public:
    static constexpr std::size_t max_event_bytes = 32 * 1024;

    /// Takes bytes from the engine. Fails with `message_damaged` when one event
    /// exceeds `max_event_bytes`.
    [[nodiscard]] state::result<void> append(std::string_view bytes);

    /// The whole events received and not yet taken, without those whose number
    /// is below the next expected one. Valid until the next `append`.
    [[nodiscard]] std::string_view take();

    /// The number of the next token to be relayed.
    [[nodiscard]] std::uint64_t next_token() const { return m_next_token; }
    /// Tokens relayed so far, counted as events with a number.
    [[nodiscard]] std::uint64_t tokens() const { return m_tokens; }
    /// True once the end mark `data: [DONE]` has been taken.
    [[nodiscard]] bool finished() const { return m_finished; }

    /// True while bytes of an event that is not whole are held.
    [[nodiscard]] bool has_partial_event() const { return !m_pending.empty(); }

    /// Expects the stream to go on after the event `last`.
    void continue_after(std::uint64_t last) { m_next_token = last + 1; }

    /// Forgets a partial event. Call it before the stream resumes on another
    /// connection; events that repeat earlier numbers are then dropped.
    void resume();

private:
    void admit(std::string_view event);

    std::string m_pending; // received and not yet whole
    std::string m_ready;   // whole events to be taken
    bool m_taken = false;  // m_ready has been handed out
    std::uint64_t m_next_token = 0;
    std::uint64_t m_tokens = 0;
    bool m_finished = false;
};

} // namespace savoryrelay::protocol
