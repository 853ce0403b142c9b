// Splits a stream of server-sent events at event boundaries, so that only complete
// events are relayed and the last token number is known when a stream must resume.
#pragma once

#include "savoryrelay/state/core/failure.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Collects bytes of an event stream and returns complete events. Each token event of an
/// engine has the field `id: N`, its token number, counted from 0.
/// Invariant: between calls it holds at most `max_event_bytes` that belong to no complete new
/// event, unless `append` failed.
class event_splitter {
public:
    static constexpr std::size_t max_event_bytes = 32 * 1024;
    /// A larger number has no successor and counts as none.
    static constexpr std::uint64_t max_token = std::numeric_limits<std::uint64_t>::max() - 1;

    /// Appends bytes received from the engine. Fails with `message_damaged` when more than
    /// `max_event_bytes` hold no complete new event.
    [[nodiscard]] state::result<void> append(std::string_view bytes);

    /// Returns the bytes up to the last new event that were appended since the last call of
    /// `take`. Leaves out events whose token number was below `next_token`, because they are
    /// repeats, and holds back what follows the last new event, because it may be no answer.
    /// The view is valid until the next `append` or `resume`.
    [[nodiscard]] std::string_view take();

    /// Returns what `take` held back. Call it at the end of a complete stream. The view is valid
    /// until the next `append` or `resume`.
    [[nodiscard]] std::string_view take_rest();

    /// Returns the number of the next token to relay.
    [[nodiscard]] std::uint64_t next_token() const { return m_next_token; }
    /// Returns the number of events with a token number that were relayed so far.
    [[nodiscard]] std::uint64_t tokens() const { return m_tokens; }
    /// Returns the number of new events so far: those with a token number, with data or the
    /// final one. An event without them, such as a comment, tells the caller nothing.
    [[nodiscard]] std::uint64_t new_events() const { return m_new_events; }
    /// Returns the number of blocks so far that consist of comments, which keep a connection
    /// alive.
    [[nodiscard]] std::uint64_t comments() const { return m_comments; }
    /// Returns true once the final event `data: [DONE]` was received.
    [[nodiscard]] bool finished() const { return m_finished; }

    /// Returns true while bytes of an incomplete event are held.
    [[nodiscard]] bool has_partial_event() const { return !m_pending.empty(); }

    /// Sets the number of the next token to the one after `last`.
    void continue_after(std::uint64_t last) { m_next_token = std::min(last, max_token) + 1; }

    /// Discards a partial event and the events not yet taken. Call it before the stream
    /// resumes on another connection. `append` then drops events that repeat earlier
    /// numbers.
    void resume();

private:
    void process_event(std::string_view event);

    std::string m_pending;         // bytes of an incomplete event
    std::string m_ready;           // complete blocks for `take` and `take_rest`
    std::size_t m_taken_size = 0;  // bytes of m_ready that were taken
    std::size_t m_events_size = 0; // bytes of m_ready up to the last new event
    std::uint64_t m_next_token = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_new_events = 0;
    std::uint64_t m_comments = 0;
    bool m_finished = false;
};

} // namespace savoryrelay::protocol
