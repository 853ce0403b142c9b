// Implements deficit round robin over customers, and early refusal.
#include "savoryrelay/coordination/admission/admission.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;
using namespace std::chrono_literals;

// Length of the window over which the rate of finished cost is measured before
// smoothing.
constexpr state::milliseconds rate_window = 500ms;
// Weight of the latest window in the smoothed rate.
constexpr double rate_smoothing = 0.3;

admission_refusal refusal(const admission_request& request, failure_kind kind, std::string detail,
                          state::milliseconds retry_after) {
    return {request.ticket,
            state::failure{kind, std::move(detail), state::execution_outcome::not_run},
            std::max<state::milliseconds>(retry_after, 1s)};
}

} // namespace

admission::admission(admission_settings settings, admission_hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {
    assert(m_settings.quantum > 0 && m_settings.capacity > 0 && "no request could start");
}

double admission::capacity_of(const deployment_row& row) const {
    return row.capacity.value_or(m_settings.capacity);
}

state::milliseconds admission::expected_wait(const deployment_row& row, const customer_queue& queue,
                                             double cost) const {
    if (row.rate <= 0 || row.running_cost + cost <= capacity_of(row)) {
        return 0ms;
    }
    // Waiting customers share the rate in proportion to their quanta.
    double quanta = queue.waiting_count > 0 ? 0 : queue.quantum;
    for (const auto& id : row.turns) {
        quanta += row.customers.at(id).quantum;
    }
    const double seconds = (queue.waiting_cost + cost) / (row.rate * queue.quantum / quanta);
    constexpr double max_seconds = 3'600;
    return state::milliseconds(static_cast<std::int64_t>(std::min(seconds, max_seconds) * 1'000));
}

void admission::submit(const admission_request& request, state::time_point now) {
    assert(request.cost > 0);
    const double quantum = m_hooks.quantum_of(request.customer, m_settings);
    assert(quantum > 0 && "a customer without a quantum could never start a request");
    decisions decided;
    m_deployments.update(request.deployment, [&](deployment_row& row) {
        auto& queue = row.customers[request.customer];
        queue.quantum = quantum;

        // Refuse requests that cannot be served in time. The customer's limit is
        // checked first, so that a large customer does not exhaust the shared limit.
        const auto wait = expected_wait(row, queue, request.cost);
        if (queue.waiting_count >= m_settings.customer_queue_limit) {
            decided.refused.push_back(refusal(request, failure_kind::customer_limit,
                                              "the customer's queue is full", wait));
        } else if (row.waiting_count >= m_settings.queue_limit) {
            decided.refused.push_back(
                refusal(request, failure_kind::overloaded, "the queue is full", wait));
        } else if (now + wait > request.deadline) {
            decided.refused.push_back(refusal(request, failure_kind::overloaded,
                                              "the expected wait exceeds the deadline", wait));
        } else {
            queue.waiting.at(static_cast<std::size_t>(request.priority)).push_back(request);
            if (queue.waiting_count++ == 0) {
                row.turns.push_back(request.customer);
            }
            queue.waiting_cost += request.cost;
            ++row.waiting_count;
            start_waiting(row, decided);
        }
        erase_idle_customers(row);
    });
    run_hooks(decided);
}

void admission::start_waiting(deployment_row& row, decisions& decided) const {
    while (!row.turns.empty()) {
        const auto id = row.turns.front();
        auto& queue = row.customers.at(id);
        if (queue.waiting_count == 0) {
            // Cancelled or expired requests left the customer's queue empty.
            row.turns.pop_front();
            queue.deficit = 0;
            queue.quantum_added = false;
            continue;
        }
        if (!queue.quantum_added) {
            queue.deficit += queue.quantum;
            queue.quantum_added = true;
        }

        // Take the request with the highest priority. The customer keeps its turn
        // until there is capacity. A request that costs more than the whole
        // capacity runs alone.
        const auto priority_queue =
            std::find_if(queue.waiting.rbegin(), queue.waiting.rend(),
                         [](const auto& waiting) { return !waiting.empty(); });
        const auto& next = priority_queue->front();
        if (next.cost > queue.deficit) {
            queue.quantum_added = false;
            row.turns.push_back(id);
            row.turns.pop_front();
            continue;
        }
        const double capacity = capacity_of(row);
        if (row.running_cost + next.cost > capacity && (capacity <= 0 || !row.running.empty())) {
            return;
        }
        queue.deficit -= next.cost;
        queue.waiting_cost -= next.cost;
        --queue.waiting_count;
        --row.waiting_count;
        row.running_cost += next.cost;
        row.running[next.ticket] = next.cost;
        decided.started.push_back(next.ticket);
        priority_queue->pop_front();
    }
}

void admission::update_rate(deployment_row& row, double cost, state::time_point now) {
    row.finished_cost += cost;
    if (!row.rate_window_start) {
        row.rate_window_start = now;
    }
    const std::chrono::duration<double> window = now - *row.rate_window_start;
    if (window < rate_window) {
        return;
    }
    const double measured = row.finished_cost / window.count();
    row.rate = row.rate > 0 ? row.rate + rate_smoothing * (measured - row.rate) : measured;
    row.finished_cost = 0;
    row.rate_window_start = now;
}

void admission::finish(const state::deployment_id& deployment, std::uint64_t ticket,
                       state::time_point now) {
    decisions decided;
    m_deployments.update_existing(deployment, [&](deployment_row& row) {
        const auto found = row.running.find(ticket);
        if (found == row.running.end()) {
            return;
        }
        row.running_cost -= found->second;
        update_rate(row, found->second, now);
        row.running.erase(found);
        start_waiting(row, decided);
        erase_idle_customers(row);
    });
    run_hooks(decided);
}

bool admission::cancel(const state::deployment_id& deployment, std::uint64_t ticket) {
    bool removed = false;
    m_deployments.update_existing(deployment, [&](deployment_row& row) {
        for (auto& [id, queue] : row.customers) {
            for (auto& waiting : queue.waiting) {
                const auto found =
                    std::find_if(waiting.begin(), waiting.end(),
                                 [&](const auto& request) { return request.ticket == ticket; });
                if (found != waiting.end()) {
                    queue.waiting_cost -= found->cost;
                    --queue.waiting_count;
                    --row.waiting_count;
                    waiting.erase(found);
                    removed = true;
                    return;
                }
            }
        }
    });
    return removed;
}

void admission::expire(const state::deployment_id& deployment, state::time_point now) {
    decisions decided;
    m_deployments.update_existing(deployment, [&](deployment_row& row) {
        for (auto& entry : row.customers) {
            auto& queue = entry.second;
            for (auto& waiting : queue.waiting) {
                std::erase_if(waiting, [&](const admission_request& request) {
                    if (now <= request.deadline) {
                        return false;
                    }
                    decided.refused.push_back(
                        refusal(request, failure_kind::deadline_exceeded,
                                "the deadline passed while the request was queued",
                                expected_wait(row, queue, request.cost)));
                    queue.waiting_cost -= request.cost;
                    --queue.waiting_count;
                    --row.waiting_count;
                    return true;
                });
            }
        }
        start_waiting(row, decided);
        erase_idle_customers(row);
    });
    run_hooks(decided);
}

void admission::set_capacity(const state::deployment_id& deployment, double capacity,
                             state::time_point) {
    assert(capacity >= 0);
    decisions decided;
    m_deployments.update(deployment, [&](deployment_row& row) {
        // The rate was measured at the old capacity, so scale it.
        row.rate *= capacity / std::max(capacity_of(row), 1.0);
        row.capacity = capacity;
        start_waiting(row, decided);
    });
    run_hooks(decided);
}

std::size_t admission::waiting(const state::deployment_id& deployment) {
    std::size_t count = 0;
    m_deployments.update_existing(deployment,
                                  [&](const deployment_row& row) { count = row.waiting_count; });
    return count;
}

double admission::running_cost(const state::deployment_id& deployment) {
    double cost = 0;
    m_deployments.update_existing(deployment,
                                  [&](const deployment_row& row) { cost = row.running_cost; });
    return cost;
}

void admission::erase_idle_customers(deployment_row& row) {
    // A customer that is not in `turns` has no waiting requests and no deficit.
    std::erase_if(row.customers, [&](const auto& entry) {
        return entry.second.waiting_count == 0 &&
               std::find(row.turns.begin(), row.turns.end(), entry.first) == row.turns.end();
    });
}

void admission::run_hooks(const decisions& decided) const {
    for (const auto ticket : decided.started) {
        m_hooks.on_start(ticket);
    }
    for (const auto& refused : decided.refused) {
        m_hooks.on_refuse(refused);
    }
}

} // namespace savoryrelay::coordination
