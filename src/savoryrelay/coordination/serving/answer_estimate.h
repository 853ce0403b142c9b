// Learns how long answers are, from the calls' limits and estimates and from streams that ended
// whole.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/serving/serving_call.h"

#include <atomic>
#include <cstddef>
#include <string>

namespace savoryrelay::coordination {

/// Expected length of an answer, in tokens.
struct answer_length {
    double mean = 0;
    double deviation = 0; ///< mean absolute deviation
};

/// Keeps decayed ratios of answers to what their calls expected, by route, customer and size of
/// the prompt. Thread-safe.
/// Invariant: holds at most `max_groups` groups of calls; further ones are estimated by their
/// route.
class answer_estimate {
public:
    /// Weight of one answer; the last 20 answers make up most of a mean.
    static constexpr double weight = 0.05;
    /// A group of calls with fewer answers is estimated by its route, and a route with fewer by
    /// the caller's estimate.
    static constexpr double min_answers = 8;
    static constexpr std::size_t max_groups = 4'096;

    /// Records that the answer of a call had `tokens` tokens. `usual_tokens` is the mean length
    /// that the engine publishes.
    void learn(const std::string& route, const std::string& customer,
               const state::serving_call& call, double usual_tokens, double tokens);

    /// Returns the expected length of the answer of `call`, at most the call's limit.
    [[nodiscard]] answer_length expect(const std::string& route, const std::string& customer,
                                       const state::serving_call& call, double usual_tokens) const;

private:
    struct ratio {
        double mean = 1;
        double deviation = 0;
        double answers = 0;
    };

    template <typename Add>
    void update(const std::string& group, const Add& add);

    state::sharded_map<std::string, ratio> m_ratios;
    std::atomic<std::size_t> m_groups{0}; // entries of m_ratios
};

} // namespace savoryrelay::coordination
