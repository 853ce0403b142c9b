// Faults that a stand-in can be told over its own port, by POST /control.
#pragma once

#include "savoryrelay/state/core/failure.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace savoryrelay::standin {

/// Switches of one stand-in. Every member may be changed while it serves.
struct control_switches {
    std::atomic<bool> down{false};              ///< closes each connection without an answer
    std::atomic<bool> refuse{false};            ///< answers 503 "not-run"
    std::atomic<bool> freeze{false};            ///< keeps connections open and says nothing
    std::atomic<std::uint32_t> delay_ms{0};     ///< before each answer
    std::atomic<std::uint32_t> lose_replies{0}; ///< so many answers are dropped after the effect
    std::atomic<std::uint32_t> break_after_tokens{
        0};                                 ///< the next stream breaks there, once; 0: none
    std::atomic<std::uint32_t> token_ms{5}; ///< between tokens of an engine
    std::atomic<bool> cross_answers{false}; ///< answers carry another request's id
};

/// Applies the JSON of POST /control: an object of switch names and values, and
/// `die: true`, which ends the process at once. Fails with `invalid_request`.
[[nodiscard]] state::result<void> apply_control(const std::string& text,
                                                control_switches& switches);

} // namespace savoryrelay::standin
