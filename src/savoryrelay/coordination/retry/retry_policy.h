// Decides whether a failed attempt is retried. If it is not, determines what the
// failure says about the request's execution.
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

/// How an attempt ended from the sender's point of view.
enum class attempt_end {
    connect_failed,      ///< the connection could not be made
    nothing_written,     ///< the connection broke before any byte was written to it
    refused_by_endpoint, ///< the endpoint answered that it did not run the request
    no_answer,           ///< bytes were written, but no answer came
    answer_interrupted,  ///< the answer began, but broke off
    progress_deadline,   ///< connected, but without progress for longer than allowed
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

/// Returns true when the end proves that the endpoint did not run the request:
/// no byte was written, or the endpoint refused the request explicitly.
[[nodiscard]] bool proves_not_run(attempt_end end);

/// The history of a request after a failed attempt.
struct attempt_history {
    state::repeat_rule repeat = state::repeat_rule::repeatable;
    state::time_point deadline;
    std::uint32_t attempts = 1;         ///< attempts so far, including the failed one
    bool earlier_proved_not_run = true; ///< all earlier attempts provably did not run
    std::uint64_t tokens_relayed = 0;   ///< token events sent to the caller
    bool engine_can_resume = false;
};

/// Settings of the retry rules.
struct retry_settings {
    std::uint32_t max_attempts = 3;               ///< attempts of one request, >= 1
    state::milliseconds min_time_for_attempt{50}; ///< no retry when less time is left
};

/// Hooks for the parts of the decision that vary or that tests replace.
struct retry_hooks {
    std::function<bool(attempt_end)> proves_not_run;
    /// Takes one retry from the budget. Returns false when it is exhausted.
    std::function<bool()> take_from_budget;
};

/// The decision about the request.
struct retry_decision {
    /// If present, the request is not retried and fails with this failure, which has
    /// an explicit outcome.
    std::optional<state::failure> give_up;
    /// Number of the first token that the next attempt must deliver.
    std::uint64_t resume_from = 0;
};

/// Decides whether to retry after a failed attempt. The caller excludes the failed
/// endpoint from the next choice.
[[nodiscard]] retry_decision decide_retry(const attempt_history& history, attempt_end end,
                                          const retry_settings& settings, const retry_hooks& hooks,
                                          state::time_point now);

/// Checks the numbers of a stream's tokens across attempts.
class token_sequence {
public:
    /// Returns true when token `number` is the next one and false for a duplicate.
    /// Fails with `stream_interrupted` when an earlier token is missing.
    [[nodiscard]] state::result<bool> accept(std::uint64_t number);
    /// Returns the number that the next token must have. The first number is 0.
    [[nodiscard]] std::uint64_t next() const { return m_next; }

private:
    std::uint64_t m_next = 0;
};

/// The progress of a stream.
struct stream_progress {
    state::time_point sent_at;
    std::optional<state::time_point> last_token_at;

    /// Returns the time by which the next token must arrive.
    [[nodiscard]] state::time_point deadline(const state::deployment_config& deployment) const;
};

} // namespace savoryrelay::coordination
