// Records what runners say of themselves in the heads of their answers: that they leave, that
// they want a pause, or how many calls a second they take.
#pragma once

#include "shared_state.h"

#include "savoryrelay/coordination/serving/runner_exclusions.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <array>
#include <atomic>
#include <functional>
#include <vector>

namespace savoryrelay::edge {

/// What a runner has answered.
enum class answered_request {
    call,
    control, ///< a report or an order, whose answer may leave out what answers to calls say
};

} // namespace savoryrelay::edge

template <>
struct savoryrelay::state::enum_table<savoryrelay::edge::answered_request> {
    using r = savoryrelay::edge::answered_request;
    static constexpr std::array rows{
        enum_name<r>{r::call, "call"},
        enum_name<r>{r::control, "control"},
    };
};

namespace savoryrelay::edge {

/// Applies the runners' signals to the fleet, counts and logs them. Thread-safe.
class runner_signals {
public:
    runner_signals(shared_state& shared, std::function<state::time_point()> now)
        : m_shared(shared), m_now(std::move(now)) {}

    /// Records the head of an answer of `runner` to this host.
    void note_answer(const state::runner_record& runner, const state::answer_head& answer);
    /// Records the rate of calls in the head of an answer of `runner` to a request that was sent at
    /// `sent_at`.
    void note_call_rate(const state::runner_record& runner, const state::answer_head& answer,
                        state::time_point sent_at, answered_request request);
    /// Records that a peer announced leaving runners.
    void note_peer_notices(const std::vector<state::leaving_runner>& runners);
    /// Records that a peer announced rates of calls.
    void note_peer_notices(const std::vector<state::call_rate_notice>& rates);

private:
    void note_leaving(const state::endpoint_id& runner, std::uint64_t started_ms,
                      coordination::exclusion_source source, state::time_point now);
    void apply_call_rate(const state::call_rate_notice& rate, coordination::exclusion_source source,
                         state::time_point shown_at, state::time_point now);
    void note_damaged_pause(const state::endpoint_id& runner, const state::answer_head& answer,
                            state::time_point now);

    shared_state& m_shared;
    const std::function<state::time_point()> m_now;
    std::atomic<state::time_point> m_damage_logged_at{state::time_point{}};
};

} // namespace savoryrelay::edge
