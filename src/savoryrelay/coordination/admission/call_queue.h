// Admission control with one completion callback for each waiting request.
#pragma once

#include "savoryrelay/coordination/admission/admission.h"

#include <functional>

namespace savoryrelay::coordination {

/// Called when a request may start, or with the failure if it is refused. The
/// outcome of such a failure is always "not run".
using start_completion = std::function<void(state::attempt<state::done>)>;

/// Queues requests for admission and calls their completions. Thread-safe.
class call_queue {
public:
    /// `quantum_of` is the hook of the same name in `admission_hooks`.
    call_queue(
        admission_settings settings,
        std::function<double(const state::customer_id&, const admission_settings&)> quantum_of);

    /// Queues a request. Calls `completion` exactly once, either before returning
    /// or later from any thread.
    void submit(const admission_request& request, state::time_point now,
                start_completion completion);
    /// Records the end of a started request. Ignores a request that was refused.
    void finish(const state::deployment_id& deployment, std::uint64_t ticket,
                state::time_point now);
    /// Refuses waiting requests whose deadline has passed. Must be called
    /// periodically.
    void expire(const state::deployment_id& deployment, state::time_point now);
    /// Sets the deployment's capacity, the maximum cost of running requests in tokens.
    void set_capacity(const state::deployment_id& deployment, double capacity,
                      state::time_point now);

private:
    void complete(std::uint64_t ticket, state::attempt<state::done> outcome);

    state::sharded_map<std::uint64_t, start_completion> m_waiting;
    admission m_admission;
};

} // namespace savoryrelay::coordination
