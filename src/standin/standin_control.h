// Switches that POST /control sets in a running stand-in: faults and timing.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/snapshot_cell.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace savoryrelay::standin {

/// Switches of one stand-in. Any thread may change a member while the stand-in serves.
struct control_switches {
    std::atomic<bool> down{false};              ///< closes each connection without an answer
    std::atomic<bool> refuse{false};            ///< answers 503 "not-run"
    std::atomic<bool> freeze{false};            ///< keeps connections open without sending data
    std::atomic<std::uint32_t> delay_ms{0};     ///< delay before each answer
    std::atomic<std::uint32_t> lose_replies{0}; ///< answers to drop after the write or call ran
    std::atomic<std::uint32_t> break_after_tokens{
        0}; ///< tokens after which the next stream breaks, once; 0: no break
    std::atomic<std::uint32_t> token_ms{5}; ///< time between the tokens of a stream
    std::atomic<bool> drop_reports_and_orders{
        false}; ///< closes the connections of requests for reports and of orders
    std::atomic<bool> refuse_calls{false};  ///< a runner answers 421 to calls with a model
    std::atomic<bool> leaving{false};       ///< all answers of a runner say that it leaves
    std::atomic<bool> cross_answers{false}; ///< answers have the id of another request
    std::atomic<bool> reset_connections{
        false}; ///< resets all connections, once, after the answer to the control message
    state::snapshot_cell<std::string> pause_calls{
        std::string{}}; ///< a runner refuses calls with 503 and this Retry-After; empty: none
    state::snapshot_cell<std::string> call_limit{
        std::string{}}; ///< all answers of a runner have this Server-Limit; empty: none
    state::snapshot_cell<std::string> crash_on_part{
        std::string{}}; ///< part of a prompt, other than the last, that crashes the runner; empty:
                        ///< none
    std::atomic<std::uint32_t> crash_after_events{0}; ///< events that a runner sends before it
                                                      ///< crashes on a call with a model
    std::atomic<bool> crash_closes{false}; ///< a crash closes the connections, without a reset
    state::snapshot_cell<std::string> crash_on_body{
        std::string{}}; ///< body of a call that crashes the runner; empty: none
};

/// Applies the JSON of POST /control: an object of switch names and values. The
/// name `die` ends the process at once. Fails with `invalid_request`.
[[nodiscard]] state::result<void> apply_control(const std::string& text,
                                                control_switches& switches);

} // namespace savoryrelay::standin
