// Admission of one call: its urgency, whether it is admitted, and the limits of its placement.
#include "savoryrelay/transport/serving/call_state.h"

#include <algorithm>
#include <utility>

namespace savoryrelay::transport {
namespace {

/// Returns whether the operators rank the routes to the call's service. Without ranks, no call
/// is to be refused for another one.
bool has_ranked_routes(const state::serving_configuration& configuration,
                       const state::route_rule& route, const std::string& service) {
    return std::any_of(
        configuration.routes.begin(), configuration.routes.end(), [&](const auto& other) {
            return other.priority != route.priority && other.calls_model &&
                   std::any_of(other.services.begin(), other.services.end(),
                               [&](const auto& share) { return share.service == service; });
        });
}

} // namespace

void serving_front::set_urgency(call_state& call) {
    if (m_dependencies.admission != nullptr && call.model != nullptr) {
        call.is_ranked = has_ranked_routes(*call.configuration, *call.route, call.service->name);
        const auto now = m_dependencies.now();
        call.decoded.urgency = m_dependencies.admission->urgency_of(
            *call.route, call.customer_priority, call.decoded, -time_until(call.arrived, now), now);
    }
}

bool serving_front::admit(call_state& call) {
    if (m_dependencies.admission == nullptr || !call.is_ranked ||
        std::exchange(call.is_admitted, true)) {
        return true;
    }
    const bool is_continued = call.last_event || call.decoded.last_event;
    const bool is_admitted =
        is_continued || m_dependencies.admission->admit({.service = *call.service,
                                                         .model = *call.model,
                                                         .urgency = call.decoded.urgency,
                                                         .customer = call.customer},
                                                        m_dependencies.now());
    m_dependencies.metrics
        .counter_of("savoryrelay_admission_total",
                    {{"outcome", is_admitted ? "admitted" : "refused"},
                     {"urgency", std::string(state::to_name(call.decoded.urgency))}})
        .add();
    return is_admitted;
}

std::optional<coordination::placement_limits>
serving_front::placement_limits_of(const call_state& call) const {
    const auto target = call.route->first_answer_target;
    const bool is_repeat = call.attempts > 0 || call.progress->has_answer_begun();
    const bool is_continued = call.last_event || call.decoded.last_event;
    if (m_dependencies.admission == nullptr || !call.is_ranked || target.count() <= 0 ||
        is_repeat || is_continued || call.decoded.urgency == state::call_urgency::late) {
        return std::nullopt;
    }
    const auto now = m_dependencies.now();
    if (!m_dependencies.admission->plan_of(*call.service, *call.model, now).is_short()) {
        return std::nullopt;
    }
    const auto left = time_until(call.arrived + target, now);
    return coordination::placement_limits{
        static_cast<double>(left.count()),
        static_cast<double>(call.route->event_gap_target.count())};
}

} // namespace savoryrelay::transport
