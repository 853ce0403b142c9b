// The state machines of a drain and of the planned stop.
#include "savoryrelay/coordination/drain/drain.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace savoryrelay::coordination {
namespace {

using state::drain_state;
using state::stop_state;

drain_progress enter(const drain_progress& progress, drain_state next, state::time_point now) {
    assert(state::is_allowed(progress.state, next));
    return {next, progress.revision, now};
}

stop_progress enter(const stop_progress& progress, stop_state next, state::time_point now) {
    assert(state::is_allowed(progress.state, next));
    return progress.state == next ? progress : stop_progress{next, now};
}

} // namespace

drain_progress step_drain(const drain_progress& progress, const drain_input& input,
                          const drain_settings& settings, state::time_point now) {
    auto current = progress;

    // The drain flag of a newer revision starts a drain or a return if it differs from the state.
    if (input.revision > current.revision) {
        current.revision = input.revision;
        const bool is_out_of_service =
            current.state == drain_state::draining || current.state == drain_state::drained;
        if (input.drained != is_out_of_service) {
            return enter(current, input.drained ? drain_state::draining : drain_state::returning,
                         now);
        }
    }
    if (current.state == drain_state::draining && input.in_flight == 0) {
        return enter(current, drain_state::drained, now);
    }
    if (current.state == drain_state::returning && now - current.since >= settings.ramp) {
        return enter(current, drain_state::in_service, now);
    }
    return current;
}

double new_work_share(const drain_progress& progress, const drain_settings& settings,
                      state::time_point last_connected, state::time_point now) {
    if (now - last_connected > settings.isolation) {
        return 0.0;
    }
    switch (progress.state) {
    case drain_state::in_service:
        return 1.0;
    case drain_state::returning: {
        const auto passed = std::chrono::duration<double>(now - progress.since);
        const auto ramp = std::chrono::duration<double>(settings.ramp);
        return ramp.count() <= 0.0 ? 1.0 : std::clamp(passed / ramp, 0.0, 1.0);
    }
    case drain_state::draining:
    case drain_state::drained:
        break;
    }
    return 0.0;
}

bool is_overdue(const drain_progress& progress, const drain_settings& settings,
                state::time_point now) {
    return progress.state == drain_state::draining && now - progress.since > settings.deadline;
}

stop_progress step_stop(const stop_progress& progress, bool stop_requested, std::uint32_t in_flight,
                        const drain_settings& settings, state::time_point now) {
    switch (progress.state) {
    case stop_state::running:
        return stop_requested ? enter(progress, stop_state::announcing, now) : progress;
    case stop_state::announcing:
        return now - progress.since >= settings.announce
                   ? enter(progress, stop_state::finishing, now)
                   : progress;
    case stop_state::finishing:
        return in_flight == 0 ? enter(progress, stop_state::stopped, now) : progress;
    case stop_state::stopped:
        break;
    }
    return progress;
}

bool accepts_requests(const stop_progress& progress) {
    return progress.state == stop_state::running || progress.state == stop_state::announcing;
}

} // namespace savoryrelay::coordination
