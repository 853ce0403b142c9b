// Keeps moving averages of the ratio of an answer to what its call expected.
#include "savoryrelay/coordination/serving/answer_estimate.h"

#include <algorithm>
#include <cmath>

namespace savoryrelay::coordination {
namespace {

// Deviation that is assumed before answers were received, as a share of the mean.
constexpr double unknown_deviation = 0.5;

// Size classes of prompts double in size; estimates of small prompts say little of large ones.
std::string group_of(const std::string& route, const std::string& customer,
                     const state::serving_call& call) {
    const int size_class = call.prompt_tokens > 1 ? std::ilogb(call.prompt_tokens) : 0;
    // A ratio to the caller's estimate differs from one to the usual length.
    const char basis = call.expected_answer_tokens > 0 ? 'e' : 'u';
    return route + '\n' + customer + '\n' + std::to_string(size_class) + basis;
}

std::string group_of(const std::string& route, const state::serving_call& call) {
    return route + (call.expected_answer_tokens > 0 ? "\ne" : "\nu");
}

double base_tokens(const state::serving_call& call, double usual_tokens) {
    return std::max(1.0,
                    call.expected_answer_tokens > 0 ? call.expected_answer_tokens : usual_tokens);
}

} // namespace

template <typename Add>
void answer_estimate::update(const std::string& group, const Add& add) {
    if (m_ratios.update_existing(group, add)) {
        return;
    }
    if (m_groups.fetch_add(1) >= max_groups) {
        m_groups.fetch_sub(1);
        return;
    }
    m_ratios.update(group, add);
}

void answer_estimate::learn(const std::string& route, const std::string& customer,
                            const state::serving_call& call, double usual_tokens, double tokens) {
    const double measured = tokens / base_tokens(call, usual_tokens);
    const auto add = [&](ratio& known) {
        // The first answers count alike.
        const double share = std::max(weight, 1 / (known.answers + 1));
        known.deviation += share * (std::abs(measured - known.mean) - known.deviation);
        known.mean += share * (measured - known.mean);
        known.answers += 1;
    };
    update(group_of(route, call), add);
    update(group_of(route, customer, call), add);
}

answer_length answer_estimate::expect(const std::string& route, const std::string& customer,
                                      const state::serving_call& call, double usual_tokens) const {
    const double base = base_tokens(call, usual_tokens);
    answer_length length{base, unknown_deviation * base};
    for (const auto& group : {group_of(route, customer, call), group_of(route, call)}) {
        const auto known = m_ratios.find(group);
        if (known && known->answers >= min_answers) {
            length = {known->mean * base, known->deviation * base};
            break;
        }
    }
    if (call.max_answer_tokens > 0) {
        length.mean = std::min(length.mean, call.max_answer_tokens);
    }
    return length;
}

} // namespace savoryrelay::coordination
