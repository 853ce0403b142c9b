// The better of a few random candidates, with the holders of the prefix.
#include "savoryrelay/coordination/routing/router.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace savoryrelay::coordination {
namespace {

// Random slots that are tried for each one wanted. With a third of the slots
// taken out, 16 tries for 4 candidates all fail once in 43 million decisions.
constexpr unsigned tries_per_choice = 4;

/// Keeps the candidate with the lowest score of one decision.
class candidate_comparison {
public:
    candidate_comparison(const route_view& view, const slot_request& request,
                         const route_weights& weights, state::time_point now)
        : m_view(view), m_request(request), m_weights(weights), m_now(now) {}

    /// Compares `slot`. Returns whether it may take the request.
    bool consider(std::uint32_t slot, double prefix_part, bool is_home) {
        const auto& excluded = m_request.excluded;
        if (std::find(excluded.begin(), excluded.end(), slot) != excluded.end()) {
            return false;
        }
        const auto row = m_view.read(slot);
        if (!may_take(row, m_request.needs, m_weights, m_now)) {
            return false;
        }
        const double score =
            score_of(row, m_request.needs, m_view.summary, m_weights, m_now, prefix_part, is_home);
        if (!m_best || score < m_best_score) {
            m_best = slot;
            m_best_score = score;
        }
        return true;
    }

    [[nodiscard]] std::optional<std::uint32_t> best() const { return m_best; }

private:
    const route_view& m_view;
    const slot_request& m_request;
    const route_weights& m_weights;
    state::time_point m_now;
    std::optional<std::uint32_t> m_best;
    double m_best_score = std::numeric_limits<double>::infinity();
};

} // namespace

state::result<std::uint32_t> choose_slot(const route_view& view, const slot_request& request,
                                         const route_weights& weights, state::time_point now,
                                         random_source& random) {
    if (view.count == 0) {
        return state::fail(state::failure_kind::no_endpoint, "the deployment has no endpoints");
    }
    candidate_comparison comparison(view, request, weights, now);

    // Endpoints that hold the prefix, and the one that all routers agree on
    // for it without exchanging messages.
    if (!request.prefix.empty()) {
        if (view.find_prefix && weights.prefix_bonus > 0) {
            const auto matches = view.find_prefix(request.prefix);
            for (std::size_t i = 0; i < matches.count; ++i) {
                comparison.consider(matches.rows.at(i).slot, matches.rows.at(i).part, false);
            }
        }
        if (weights.home_bonus > 0) {
            const auto home = static_cast<std::uint32_t>(request.prefix.front() % view.count);
            comparison.consider(home, 0.0, true);
        }
    }

    // A few random slots.
    std::uniform_int_distribution<std::uint32_t> pick(0,
                                                      static_cast<std::uint32_t>(view.count - 1));
    const unsigned choices = std::max(weights.random_choices, 1U);
    unsigned accepted = 0;
    for (unsigned i = 0; i < choices * tries_per_choice && accepted < choices; ++i) {
        accepted += comparison.consider(pick(random), 0.0, false) ? 1U : 0U;
    }

    // Few endpoints may take the request: walk from a random slot, so that the
    // first ones in the order do not receive everything.
    if (!comparison.best()) {
        const auto start = pick(random);
        for (std::size_t i = 0; i < view.count && accepted < choices; ++i) {
            const auto slot = static_cast<std::uint32_t>((start + i) % view.count);
            accepted += comparison.consider(slot, 0.0, false) ? 1U : 0U;
        }
    }
    if (!comparison.best()) {
        return state::fail(state::failure_kind::no_endpoint, "none of " +
                                                                 std::to_string(view.count) +
                                                                 " endpoints may take the request");
    }
    return *comparison.best();
}

state::result<std::size_t> choose_endpoint(const std::vector<route_candidate>& candidates,
                                           const route_request& request, state::time_point now,
                                           random_source& random) {
    // Zone 0 is the local one, zone 1 each other one.
    route_view view;
    view.count = candidates.size();
    view.read = [&](std::uint32_t slot) {
        const auto& candidate = candidates[slot];
        route_row row;
        row.state = candidate.state;
        row.capacity = candidate.capacity;
        row.zone = candidate.availability_zone == request.local_zone ? 0 : 1;
        row.drained = candidate.drained;
        return row;
    };
    view.find_prefix = [&](const std::vector<std::uint64_t>&) {
        prefix_matches matches;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].has_prefix && matches.count < prefix_matches::limit) {
                matches.rows.at(matches.count++) = {static_cast<std::uint32_t>(i), 1.0};
            }
        }
        return matches;
    };

    // Aggregates of the list.
    route_weights weights;
    weights.home_bonus = 0; // the list has no stable order for a prefix to hash to
    slot_request slots;
    slots.needs.priority = request.priority;
    slots.prefix = {0}; // `has_prefix` carries the match
    double load = 0;
    std::vector<double> intervals;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        load += believed_load(view.read(static_cast<std::uint32_t>(i)), weights, request.priority) /
                static_cast<double>(candidates[i].capacity);
        if (candidates[i].state.token_interval_ms > 0) {
            intervals.push_back(candidates[i].state.token_interval_ms);
        }
        if (std::find(request.excluded.begin(), request.excluded.end(), candidates[i].endpoint) !=
            request.excluded.end()) {
            slots.excluded.push_back(static_cast<std::uint32_t>(i));
        }
    }
    view.summary.mean_load = candidates.empty() ? 0 : load / static_cast<double>(candidates.size());
    if (!intervals.empty()) {
        const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
        std::nth_element(intervals.begin(), middle, intervals.end());
        view.summary.median_token_interval_ms = *middle;
    }

    BOOST_LEAF_AUTO(slot, choose_slot(view, slots, weights, now, random));
    return static_cast<std::size_t>(slot);
}

} // namespace savoryrelay::coordination
