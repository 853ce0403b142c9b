// Predicts the response times of an engine that batches its calls.
#include "savoryrelay/coordination/serving/group_choice.h"

#include <algorithm>
#include <cmath>

namespace savoryrelay::coordination {
namespace {

constexpr double million = 1e6;

double prefill_ms(const state::engine_rule& engine, double tokens) {
    const double pairs = tokens * tokens / 2;
    return tokens / engine.prompt_tokens_per_ms + engine.pairs_ms_per_million * pairs / million;
}

double step_ms(const state::engine_rule& engine, double streams) {
    const double context = engine.usual_prompt_tokens + engine.usual_answer_tokens;
    constexpr double tokens_per_k = 1'000;
    return engine.step_ms + streams * (engine.step_per_request_ms +
                                       engine.context_ms_per_k * context / tokens_per_k);
}

double answer_tokens(const state::engine_rule& engine, const state::serving_call& call) {
    double tokens =
        call.expected_answer_tokens > 0 ? call.expected_answer_tokens : engine.usual_answer_tokens;
    if (call.max_answer_tokens > 0) {
        tokens = std::min(tokens, call.max_answer_tokens);
    }
    return tokens;
}

} // namespace

double call_work_ms(const state::engine_rule& engine, const state::model_rule& model,
                    const state::serving_call& call) {
    const double batch = std::max(1U, engine.slots);
    return model.time_factor * (prefill_ms(engine, call.prompt_tokens) +
                                answer_tokens(engine, call) * step_ms(engine, batch) / batch);
}

group_prediction predict(const state::engine_rule& engine, const state::model_rule& model,
                         const group_candidate& candidate, const state::serving_call& call) {
    const double time_factor = model.time_factor * std::max(1.0, candidate.time_factor);
    const double streams = candidate.load.writing;
    const double in_flight = streams + candidate.load.waiting + 1;
    const double batch = std::max(1U, engine.slots);
    const double steps = std::max(1U, engine.steps_per_pass);

    // The engine reads prompts in chunks between the passes that generate tokens
    // for the running streams.
    const double tokens = candidate.load.waiting_prompt_tokens + call.prompt_tokens;
    const double passes = std::max(1.0, std::ceil(tokens / std::max(1U, engine.chunk_tokens)));
    const double pass_ms = streams > 0 ? steps * step_ms(engine, std::min(streams + 1, batch)) : 0;
    double first_ms = prefill_ms(engine, call.prompt_tokens) +
                      candidate.load.waiting_prompt_tokens / engine.prompt_tokens_per_ms +
                      (passes + 0.5) * pass_ms + step_ms(engine, 1);

    // A call that exceeds the batch waits until a stream ends.
    if (in_flight > batch) {
        const double stream_ms = engine.usual_answer_tokens * step_ms(engine, batch);
        first_ms += (in_flight - batch) * stream_ms / batch;
    }
    const double gap_ms =
        steps * step_ms(engine, std::min(in_flight, batch)) +
        std::min<double>(tokens, engine.chunk_tokens) / engine.prompt_tokens_per_ms;
    return {time_factor * first_ms + candidate.zone_round_trip_ms, time_factor * gap_ms};
}

std::optional<group_choice> choose_group(const state::engine_rule& engine,
                                         const state::model_rule& model,
                                         const std::vector<group_candidate>& candidates,
                                         const state::serving_call& call) {
    std::optional<group_choice> best;
    for (const auto& candidate : candidates) {
        const auto in_flight = candidate.load.writing + candidate.load.waiting;
        if (in_flight >= engine.slots) {
            continue;
        }
        const auto prediction = predict(engine, model, candidate, call);
        if (!best || prediction.first_event_ms < best->prediction.first_event_ms) {
            best = group_choice{candidate.head, prediction};
        }
    }
    return best;
}

} // namespace savoryrelay::coordination
