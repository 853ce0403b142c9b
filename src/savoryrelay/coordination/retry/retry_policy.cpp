// Implements the retry rules.
#include "savoryrelay/coordination/retry/retry_policy.h"

#include <string>

namespace savoryrelay::coordination {
namespace {

using state::execution_outcome;
using state::failure_kind;

struct end_properties {
    attempt_end end;
    bool proves_not_run;
    failure_kind kind; ///< failure that the caller sees when no other rule applies
};
constexpr std::array end_table{
    end_properties{attempt_end::connect_failed, true, failure_kind::endpoint_unreachable},
    end_properties{attempt_end::nothing_written, true, failure_kind::endpoint_unreachable},
    end_properties{attempt_end::refused_by_endpoint, true, failure_kind::overloaded},
    end_properties{attempt_end::no_answer, false, failure_kind::endpoint_failed},
    end_properties{attempt_end::answer_interrupted, false, failure_kind::stream_interrupted},
    end_properties{attempt_end::progress_deadline, false, failure_kind::stream_interrupted},
};

const end_properties& properties_of(attempt_end end) {
    return end_table.at(static_cast<std::size_t>(end));
}

} // namespace

bool proves_not_run(attempt_end end) {
    return properties_of(end).proves_not_run;
}

retry_decision decide_retry(const attempt_history& history, attempt_end end,
                            const retry_settings& settings, const retry_hooks& hooks,
                            state::time_point now) {
    const bool not_run = hooks.proves_not_run(end);
    const auto outcome = not_run && history.earlier_proved_not_run ? execution_outcome::not_run
                                                                   : execution_outcome::unknown;
    const auto give_up = [&](failure_kind kind, const std::string& detail) {
        return retry_decision{state::failure{kind, detail, outcome}, 0};
    };
    const auto kind = properties_of(end).kind;
    const std::string name(state::to_name(end));

    if (history.repeat == state::repeat_rule::at_most_once && !not_run) {
        return give_up(failure_kind::booking_unknown, name + " after the request was sent");
    }
    // A second run samples new tokens, which may differ from those already sent to
    // the caller.
    if (history.tokens_relayed > 0 && !history.engine_can_resume) {
        return give_up(failure_kind::stream_interrupted,
                       "the engine cannot resume after token " +
                           std::to_string(history.tokens_relayed));
    }
    if (history.attempts >= settings.max_attempts) {
        return give_up(kind, name + " at attempt " + std::to_string(history.attempts));
    }
    if (now + settings.min_time_for_attempt > history.deadline) {
        return give_up(failure_kind::deadline_exceeded,
                       name + "; too little time for another attempt");
    }
    // Checks the budget last, so that a request that is not retried for another
    // reason does not use it.
    if (!hooks.take_from_budget()) {
        return give_up(kind, name + "; the retry budget is exhausted");
    }
    return {std::nullopt, history.tokens_relayed};
}

state::result<bool> token_sequence::accept(std::uint64_t number) {
    if (number > m_next) {
        return state::fail(failure_kind::stream_interrupted,
                           "token " + std::to_string(number) + " received, but token " +
                               std::to_string(m_next) + " was expected");
    }
    if (number < m_next) {
        return false;
    }
    ++m_next;
    return true;
}

state::time_point stream_progress::deadline(const state::deployment_config& deployment) const {
    return last_token_at ? *last_token_at + deployment.token_timeout
                         : sent_at + deployment.first_token_timeout;
}

} // namespace savoryrelay::coordination
