// Whether a failed attempt may be repeated, and what a refusal may truthfully
// say about the request's execution.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

namespace savoryrelay::coordination {

/// How an attempt ended, as the sending side saw it.
enum class attempt_end {
    connect_failed,      ///< no connection was made
    nothing_written,     ///< the connection broke before a byte was handed to it
    refused_by_endpoint, ///< the endpoint answered that it did not run the request
    no_answer,           ///< bytes were written and no answer came
    answer_interrupted,  ///< an answer began and broke off
    progress_deadline,   ///< connected and silent for longer than allowed
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::attempt_end> {
    using e = savoryrelay::coordination::attempt_end;
    static constexpr std::array rows{
        enum_name<e>{e::connect_failed, "connect_failed"},
        enum_name<e>{e::nothing_written, "nothing_written"},
        enum_name<e>{e::refused_by_endpoint, "refused_by_endpoint"},
        enum_name<e>{e::no_answer, "no_answer"},
        enum_name<e>{e::answer_interrupted, "answer_interrupted"},
        enum_name<e>{e::progress_deadline, "progress_deadline"},
    };
};

namespace savoryrelay::coordination {

/// True when the end proves that the endpoint did not run the request. Only
/// ends before the first byte and an explicit refusal prove it.
[[nodiscard]] bool proves_not_run(attempt_end end);

/// What is known of a request after a failed attempt.
struct attempt_history {
    state::repeat_rule repeat = state::repeat_rule::repeatable;
    state::time_point deadline;
    std::uint32_t attempts = 1;      ///< attempts made so far, the failed one included
    bool each_proved_not_run = true; ///< of the attempts before the failed one
    std::uint64_t tokens_passed = 0; ///< token events passed on to the caller
    bool engine_can_resume = false;
};

/// Settings of retries.
struct retry_settings {
    std::uint32_t attempt_limit = 3;          ///< attempts of one request, >= 1
    state::milliseconds shortest_attempt{50}; ///< less time to the deadline: no retry
};

/// Parts of the decision that vary or that tests replace.
struct retry_hooks {
    std::function<bool(attempt_end)> proves_not_run;
    /// Takes one retry from the budget. Returns false when it is used up.
    std::function<bool()> take_from_budget;
};

/// What to do with the request.
struct retry_decision {
    /// Present: give up with this failure, whose outcome is set.
    std::optional<state::failure> give_up;
    /// Number of the first token that the next attempt is asked for.
    std::uint64_t resume_from = 0;
};

/// Decides after a failed attempt. The caller excludes the failed endpoint from
/// the next choice.
[[nodiscard]] retry_decision decide_retry(const attempt_history& history, attempt_end end,
                                          const retry_settings& settings, const retry_hooks& hooks,
                                          state::time_point now);

/// Numbers of a stream's tokens across attempts.
class token_sequence {
public:
    /// True when token `number` is the next one; false for a duplicate.
    /// Fails with `stream_interrupted` when a number is missing before it.
    [[nodiscard]] state::result<bool> accept(std::uint64_t number);
    /// The number that the next token must have; the first is 0.
    [[nodiscard]] std::uint64_t next() const { return m_next; }

private:
    std::uint64_t m_next = 0;
};

/// When a stream must have made progress.
struct stream_progress {
    state::time_point sent_at;
    std::optional<state::time_point> last_token_at;

    /// The time at which the stream counts as silent.
    [[nodiscard]] state::time_point deadline(const state::deployment_config& deployment) const;
};

} // namespace savoryrelay::coordination
