// Tests what the complete answer of an endpoint means for its call.
#include "savoryrelay/coordination/serving/answer_verdict.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using coordination::answer_defect;
using coordination::attempt_outcome;
using coordination::judge_answer;
using state::answer_head;

namespace {

constexpr unsigned first_status = 200;
constexpr unsigned last_status = 599;

answer_head head_of(unsigned status) {
    answer_head head;
    head.status = status;
    head.has_receipt = true;
    return head;
}

} // namespace

TEST_CASE("only the endpoint's own statement shows that a call has not run") {
    // Guards against a refusal of a call that has run, after which its caller books again.
    for (unsigned status = first_status; status <= last_status; ++status) {
        CAPTURE(status);
        auto head = head_of(status);
        const auto outcome = judge_answer(head).outcome;
        const bool is_promise = status == 408 || status == 421 || status == 429 || status == 503;
        const auto unmarked = is_promise      ? attempt_outcome::withheld
                              : status >= 500 ? attempt_outcome::failed
                                              : attempt_outcome::delivered;
        CHECK(outcome == unmarked);
        head.is_not_run = true;
        CHECK(judge_answer(head).outcome == attempt_outcome::not_run);
    }
}

TEST_CASE("a success is withheld unless it has a receipt and the endpoint's own body") {
    // Guards against an answer that its caller can neither use nor ask for again.
    for (unsigned status = first_status; status <= last_status; ++status) {
        CAPTURE(status);
        const bool is_success = status < 300;
        auto head = head_of(status);
        const auto unspoilt = judge_answer(head);
        CHECK((unspoilt.outcome == attempt_outcome::delivered || !is_success));
        head.is_encoded = true;
        CHECK(judge_answer(head).defect ==
              (is_success ? answer_defect::encoded_body : unspoilt.defect));
        head.has_receipt = false;
        const auto verdict = judge_answer(head);
        CHECK(verdict.outcome == (is_success ? attempt_outcome::withheld : unspoilt.outcome));
        CHECK(verdict.defect == (is_success ? answer_defect::no_receipt : unspoilt.defect));
    }
}
