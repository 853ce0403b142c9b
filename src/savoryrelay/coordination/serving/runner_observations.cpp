// Selects the runners that the controller tells of.
#include "savoryrelay/coordination/serving/runner_observations.h"

namespace savoryrelay::coordination {
namespace {

// Returns whether the runner is in no group and its last model is known. The entry of a group
// member contains its model; that of a free runner is known from observations only.
bool has_free_model(const runner_view& runner) {
    return !runner.record.membership && !runner.last_model.empty();
}

} // namespace

state::runner_observation make_observation(const runner_view& runner, bool is_silent) {
    const auto& record = runner.record;
    state::runner_observation observation;
    observation.id = record.id;
    observation.started_ms = record.started_ms;
    observation.sequence = record.sequence;
    observation.is_silent = is_silent;
    observation.model = has_free_model(runner) ? runner.last_model : record.model;
    observation.membership = record.membership.value_or(state::group_membership{});
    observation.time_factor = runner.time_factor;
    return observation;
}

std::optional<state::runner_observation>
observe_as_controller(const runner_view& runner, bool includes_free, state::time_point now) {
    if (runner.silent_since) {
        return make_observation(runner, true); // receivers use nothing else of it
    }
    const bool is_told = runner.was_recently_head(now) || (includes_free && has_free_model(runner));
    if (!is_told || !runner.is_state_reported(now)) {
        return std::nullopt;
    }
    return make_observation(runner, false);
}

} // namespace savoryrelay::coordination
