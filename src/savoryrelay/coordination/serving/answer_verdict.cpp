// Implements the verdict on an endpoint's complete answer.
#include "savoryrelay/coordination/serving/answer_verdict.h"

#include <algorithm>
#include <array>

namespace savoryrelay::coordination {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_multiple_choices = 300;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected_request = 421;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_unavailable = 503;

constexpr std::array not_run_statuses{status_request_timeout, status_misdirected_request,
                                      status_too_many_requests, status_unavailable};

// Returns whether an answer with this status tells its caller that the call has not run and
// never will. Callers then repeat calls that may run only once.
bool promises_not_run(unsigned status) {
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) !=
           not_run_statuses.end();
}

} // namespace

answer_verdict judge_answer(const state::answer_head& answer) {
    if (answer.is_not_run) {
        return {attempt_outcome::not_run};
    }
    if (promises_not_run(answer.status)) {
        return {attempt_outcome::withheld, answer_defect::unproved_refusal};
    }
    const bool is_success = answer.status >= status_ok && answer.status < status_multiple_choices;
    if (is_success && !answer.has_receipt) {
        return {attempt_outcome::withheld, answer_defect::no_receipt};
    }
    if (is_success && answer.is_encoded) {
        return {attempt_outcome::withheld, answer_defect::encoded_body};
    }
    return {answer.status >= status_server_error ? attempt_outcome::failed
                                                 : attempt_outcome::delivered};
}

} // namespace savoryrelay::coordination
