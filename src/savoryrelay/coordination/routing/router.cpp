// Two random choices over corrected load.
#include "savoryrelay/coordination/routing/router.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

bool may_take(const route_candidate& candidate, const route_request& request,
              state::time_point now) {
    using state::endpoint_phase;
    const auto& view = candidate.state;
    if (std::find(request.excluded.begin(), request.excluded.end(), candidate.endpoint) !=
        request.excluded.end()) {
        return false;
    }
    if (view.phase == endpoint_phase::leaving) {
        return false;
    }
    return view.phase != endpoint_phase::down || now >= view.retry_at;
}

double corrected_load(const route_candidate& candidate) {
    const auto& view = candidate.state;
    const double requests = static_cast<double>(view.report.running) +
                            static_cast<double>(view.report.queued) +
                            static_cast<double>(view.sent_since_report);
    return std::max(requests, static_cast<double>(view.in_flight)) /
           static_cast<double>(candidate.capacity);
}

} // namespace

state::result<std::size_t> choose_endpoint(const std::vector<route_candidate>& candidates,
                                           const route_request& request, state::time_point now,
                                           random_source& random) {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (may_take(candidates[i], request, now)) {
            usable.push_back(i);
        }
    }
    if (usable.empty()) {
        return state::fail(state::failure_kind::no_endpoint, "none of " +
                                                                 std::to_string(candidates.size()) +
                                                                 " endpoints may take the request");
    }

    // Two distinct random candidates; the less loaded one is taken.
    std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
    const auto first = usable[pick(random)];
    const auto second = usable[pick(random)];
    return corrected_load(candidates[second]) < corrected_load(candidates[first]) ? second : first;
}

} // namespace savoryrelay::coordination
