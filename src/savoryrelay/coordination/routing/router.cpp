// Implements the routing decision: the best of a few random candidates and the
// endpoints that probably cache the prefix.
#include "savoryrelay/coordination/routing/router.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace savoryrelay::coordination {
namespace {

// Number of random slots tried for each wanted candidate. When a third of the
// slots are ineligible, all 16 tries for 4 candidates fail in one of 43 million
// decisions.
constexpr unsigned tries_per_candidate = 4;

/// Finds the candidate with the lowest score in one decision.
class candidate_selector {
public:
    candidate_selector(const route_view& view, const slot_request& request,
                       const route_weights& weights, state::time_point now)
        : m_view(view), m_request(request), m_weights(weights), m_now(now) {}

    /// Scores `slot` if it is eligible. Returns whether it can accept the request.
    bool consider(std::uint32_t slot, double prefix_fraction, bool is_home) {
        const auto& excluded = m_request.excluded;
        if (std::find(excluded.begin(), excluded.end(), slot) != excluded.end()) {
            return false;
        }
        const auto row = m_view.read(slot);
        if (!can_accept(row, m_request.needs, m_weights, m_now)) {
            return false;
        }
        const double score = score_of(row, m_request.needs, m_view.summary, m_weights, m_now,
                                      prefix_fraction, is_home);
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
    candidate_selector selector(view, request, weights, now);

    // Considers the endpoints that cache the prefix, and the endpoint that the
    // prefix hashes to. All routers compute the same one without exchanging messages.
    if (!request.prefix.empty()) {
        if (view.find_prefix && weights.prefix_bonus > 0) {
            const auto matches = view.find_prefix(request.prefix);
            for (std::size_t i = 0; i < matches.count; ++i) {
                selector.consider(matches.rows.at(i).slot, matches.rows.at(i).fraction, false);
            }
        }
        if (weights.home_bonus > 0) {
            const auto home = static_cast<std::uint32_t>(request.prefix.front() % view.count);
            selector.consider(home, 0.0, true);
        }
    }

    // Considers a few random slots.
    std::uniform_int_distribution<std::uint32_t> pick(0,
                                                      static_cast<std::uint32_t>(view.count - 1));
    const unsigned choices = std::max(weights.random_choices, 1U);
    unsigned accepted = 0;
    for (unsigned i = 0; i < choices * tries_per_candidate && accepted < choices; ++i) {
        accepted += selector.consider(pick(random), 0.0, false) ? 1U : 0U;
    }

    // If no slot was eligible so far, walks all slots. It starts at a random one, so
    // that the first slots do not receive all requests.
    if (!selector.best()) {
        const auto start = pick(random);
        for (std::size_t i = 0; i < view.count && accepted < choices; ++i) {
            const auto slot = static_cast<std::uint32_t>((start + i) % view.count);
            accepted += selector.consider(slot, 0.0, false) ? 1U : 0U;
        }
    }
    if (!selector.best()) {
        return state::fail(state::failure_kind::no_endpoint,
                           "none of " + std::to_string(view.count) +
                               " endpoints can accept the request");
    }
    return *selector.best();
}

state::result<std::size_t> choose_endpoint(const std::vector<route_candidate>& candidates,
                                           const route_request& request, state::time_point now,
                                           random_source& random) {
    // Zone 0 is the local zone; zone 1 stands for all other zones.
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

    // Computes the aggregates of the list and maps the excluded endpoints to slots.
    route_weights weights;
    weights.home_bonus = 0; // the list has no stable order for a prefix to hash to
    slot_request slots;
    slots.needs.priority = request.priority;
    slots.prefix = {0}; // any prefix, so that `find_prefix` is called, which reads `has_prefix`
    double load = 0;
    std::vector<double> intervals;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        load +=
            estimated_load(view.read(static_cast<std::uint32_t>(i)), weights, request.priority) /
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
