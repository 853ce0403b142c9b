// Admission with one completion for each waiting request.
#pragma once

#include "savoryrelay/coordination/admission/admission.h"

#include <functional>

namespace savoryrelay::coordination {

/// Completes a request's wait: it may start, or it is refused as "not run".
using start_completion = std::function<void(state::attempt<state::done>)>;

/// Waiting requests and their completions. Thread-safe.
class call_queue {
public:
    /// `quantum_of` as in `admission_hooks`.
    call_queue(
        admission_settings settings,
        std::function<double(const state::customer_id&, const admission_settings&)> quantum_of);

    /// Calls `completion` once, from this call or later from any thread.
    void submit(const admission_request& request, state::time_point now,
                start_completion completion);
    /// A started request ended. A request that was refused is ignored.
    void finish(const state::deployment_id& deployment, std::uint64_t ticket,
                state::time_point now);
    /// Refuses waiting requests whose deadline has passed; called by a tick.
    void expire(const state::deployment_id& deployment, state::time_point now);
    /// Sets the tokens of cost that may be in flight.
    void set_capacity(const state::deployment_id& deployment, double capacity,
                      state::time_point now);

private:
    void complete(std::uint64_t ticket, state::attempt<state::done> outcome);

    state::sharded_map<std::uint64_t, start_completion> m_waiting;
    admission m_admission;
};

} // namespace savoryrelay::coordination
