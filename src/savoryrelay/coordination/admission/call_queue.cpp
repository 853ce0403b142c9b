// Stores the completions of waiting requests and calls them on admission decisions.
#include "savoryrelay/coordination/admission/call_queue.h"

#include <utility>

namespace savoryrelay::coordination {

call_queue::call_queue(
    admission_settings settings,
    std::function<double(const state::customer_id&, const admission_settings&)> quantum_of)
    : m_admission(settings, {[this](std::uint64_t ticket) { complete(ticket, state::done{}); },
                             [this](const admission_refusal& refused) {
                                 complete(refused.ticket, refused.failure);
                             },
                             std::move(quantum_of)}) {}

void call_queue::complete(std::uint64_t ticket, state::attempt<state::done> outcome) {
    const auto completion = m_waiting.extract_if(ticket, [](const auto&) { return true; });
    if (completion) {
        (*completion)(std::move(outcome));
    }
}

void call_queue::submit(const admission_request& request, state::time_point now,
                        start_completion completion) {
    m_waiting.insert(request.ticket, std::move(completion));
    m_admission.submit(request, now);
}

void call_queue::finish(const state::deployment_id& deployment, std::uint64_t ticket,
                        state::time_point now) {
    m_admission.finish(deployment, ticket, now);
}

void call_queue::expire(const state::deployment_id& deployment, state::time_point now) {
    m_admission.expire(deployment, now);
}

void call_queue::set_capacity(const state::deployment_id& deployment, double capacity,
                              state::time_point now) {
    m_admission.set_capacity(deployment, capacity, now);
}

} // namespace savoryrelay::coordination
