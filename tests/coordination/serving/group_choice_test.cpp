// Tests the predictions, the choice among groups, the layout of groups and the learned
// correction.
#include "savoryrelay/coordination/serving/group_choice.h"
#include "savoryrelay/coordination/serving/group_layout.h"
#include "savoryrelay/coordination/serving/prediction_correction.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using namespace savoryrelay::coordination;

namespace {

state::engine_rule make_engine() {
    state::engine_rule engine;
    engine.slots = 26;
    engine.step_ms = 6;
    engine.step_per_request_ms = 0.25;
    engine.prompt_tokens_per_ms = 46;
    engine.chunk_tokens = 2048;
    engine.steps_per_pass = 5;
    engine.usual_prompt_tokens = 1000;
    engine.usual_answer_tokens = 116;
    engine.models = {{"large", 4, 0.67, 1.0, {}, {}}, {"small", 2, 0.33, 0.6, {}, {}}};
    return engine;
}

group_candidate candidate(const std::string& id, std::uint32_t writing, double waiting_tokens,
                          double time_factor = 1) {
    group_candidate value;
    value.head = state::endpoint_id(id);
    value.time_factor = time_factor;
    value.load.writing = writing;
    value.load.waiting = waiting_tokens > 0 ? 1 : 0;
    value.load.waiting_prompt_tokens = waiting_tokens;
    return value;
}

state::serving_call make_call() {
    state::serving_call call;
    call.prompt_tokens = 1500;
    return call;
}

} // namespace

TEST_CASE("the group with the earliest first event is chosen") {
    const auto engine = make_engine();
    const auto& model = engine.models.front();
    const auto chosen_among = [&](std::vector<group_candidate> candidates) {
        const auto choice = choose_group(engine, model, candidates, make_call());
        return choice ? choice->head.value() : std::string("none");
    };
    CHECK(chosen_among({candidate("idle", 0, 0), candidate("writing", 20, 0)}) == "idle");
    CHECK(chosen_among({candidate("reading", 2, 9000), candidate("writing", 8, 0)}) == "writing");
    CHECK(chosen_among({candidate("slow", 0, 0, 12), candidate("writing", 12, 0)}) == "writing");
    CHECK(chosen_among({candidate("full", 26, 0)}) == "none");
}

TEST_CASE(
    "the predicted time grows with the calls in flight, the waiting tokens and the slowdown") {
    CHECK(rc::check("predictions are monotonic", [] {
        const auto engine = make_engine();
        const auto& model = engine.models.front();
        const auto writing = *rc::gen::inRange<std::uint32_t>(0, 40);
        const double tokens = *rc::gen::inRange(1, 20'000);
        const auto base = predict(engine, model, candidate("a", writing, tokens), make_call());
        const auto first_event_ms_of = [&](const group_candidate& more) {
            return predict(engine, model, more, make_call()).first_event_ms;
        };
        RC_ASSERT(first_event_ms_of(candidate("a", writing + 1, tokens)) >= base.first_event_ms);
        RC_ASSERT(first_event_ms_of(candidate("a", writing, tokens + 3000)) >= base.first_event_ms);
        RC_ASSERT(first_event_ms_of(candidate("a", writing, tokens, 2)) > base.first_event_ms);
    }));
}

TEST_CASE("the correction converges to the costs that an engine does not publish") {
    prediction_correction correction;
    CHECK(correction.correction_ms("m") == 0);
    for (int i = 0; i < 200; ++i) {
        correction.learn("m", 50 + i % 10, 170 + i % 10);
    }
    CHECK(correction.correction_ms("m") == Approx(120).margin(1));
    correction.learn("m", prediction_correction::max_learned_prediction_ms + 1, 100);
    CHECK(correction.correction_ms("m") == Approx(120).margin(1));
}

TEST_CASE("a layout divides the runners among the models and keeps a spare in each domain") {
    const auto models = make_engine().models;
    std::vector<domain_size> domains;
    for (int i = 0; i < 6; ++i) {
        domains.push_back({state::fabric_domain_id("d" + std::to_string(i)), 8});
    }
    const auto counts = count_groups(plan_layout(models, domains));
    CHECK(counts.at("large") == 6);
    CHECK(counts.at("small") == 6);
}

TEST_CASE("a layout fits its domains and leaves no runners idle that could form a group") {
    CHECK(rc::check("layouts fit", [] {
        const auto large = *rc::gen::inRange<std::uint32_t>(2, 9);
        const auto small = *rc::gen::inRange<std::uint32_t>(1, large + 1);
        const std::vector<state::model_rule> models{{"large", large, 0.5, 1, {}, {}},
                                                    {"small", small, 0.5, 1, {}, {}}};
        std::vector<domain_size> domains;
        const auto count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
            domains.push_back({state::fabric_domain_id("d" + std::to_string(i)),
                               *rc::gen::inRange<std::size_t>(0, 20)});
        }
        const auto layout = plan_layout(models, domains);
        for (const auto& [domain, runners] : domains) {
            std::size_t used = 0;
            for (const auto& model : layout.at(domain)) {
                used += model == "large" ? large : small;
            }
            RC_ASSERT(used <= runners);
            const bool leaves_few = layout.at(domain).empty()
                                        ? runners < small
                                        : runners - used < small + spares_per_domain;
            RC_ASSERT(leaves_few);
        }
    }));
}
