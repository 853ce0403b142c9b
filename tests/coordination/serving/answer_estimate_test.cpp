// Tests what is learned of the lengths of answers.
#include "savoryrelay/coordination/serving/answer_estimate.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using namespace savoryrelay::coordination;

namespace {

constexpr double usual = 200;

state::serving_call make_call(double expected, double limit = 0, double prompt = 600) {
    state::serving_call call;
    call.prompt_tokens = prompt;
    call.expected_answer_tokens = expected;
    call.max_answer_tokens = limit;
    return call;
}

} // namespace

TEST_CASE("answer estimate: before answers were received, the call's own counts are taken") {
    const answer_estimate estimate;
    CHECK(estimate.expect("r", "c", make_call(0), usual).mean == usual);
    CHECK(estimate.expect("r", "c", make_call(50), usual).mean == 50);
    CHECK(estimate.expect("r", "c", make_call(900, 300), usual).mean == 300);
}

TEST_CASE("answer estimate: estimates of callers that are far off are corrected by customer") {
    answer_estimate estimate;
    for (int i = 0; i < 200; ++i) {
        estimate.learn("r", "low", make_call(50), usual, 400);
        estimate.learn("r", "exact", make_call(50), usual, 50);
    }
    CHECK(estimate.expect("r", "low", make_call(100), usual).mean == Approx(800));
    CHECK(estimate.expect("r", "exact", make_call(100), usual).mean == Approx(100));
    CHECK(estimate.expect("r", "low", make_call(100), usual).deviation < 40);
    // A new customer is estimated by its route, with a wide spread.
    const auto unknown = estimate.expect("r", "new", make_call(100), usual);
    CHECK(unknown.mean > 200);
    CHECK(unknown.deviation > 200);
    CHECK(estimate.expect("other", "low", make_call(100), usual).mean == 100);
}

TEST_CASE("answer estimate: long prompts with short answers are told from short prompts") {
    answer_estimate estimate;
    for (int i = 0; i < 100; ++i) {
        estimate.learn("r", "c", make_call(0, 0, 4'000), usual, 20);
        estimate.learn("r", "c", make_call(0, 0, 100), usual, 400);
    }
    CHECK(estimate.expect("r", "c", make_call(0, 0, 4'000), usual).mean == Approx(20));
    CHECK(estimate.expect("r", "c", make_call(0, 0, 100), usual).mean == Approx(400));
}

TEST_CASE("answer estimate: memory is bounded, and further customers share their route's mean") {
    answer_estimate estimate;
    for (std::size_t i = 0; i < answer_estimate::max_groups + 100; ++i) {
        estimate.learn("r", std::to_string(i), make_call(50), usual, 100);
    }
    for (int i = 0; i < 20; ++i) {
        estimate.learn("r", "late", make_call(50), usual, 500);
    }
    const auto late = estimate.expect("r", "late", make_call(50), usual).mean;
    CHECK(late > 100);
    CHECK(late < 450); // a group of its own would be near 500
}
