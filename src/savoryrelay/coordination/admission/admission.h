// Admission control: decides which waiting request starts next and which request
// is refused. Customers share a deployment's capacity by weight and token cost
// (deficit round robin).
#pragma once

#include "savoryrelay/coordination/routing/route_score.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// A request for admission to a deployment.
struct admission_request {
    std::uint64_t ticket = 0; ///< unique within the process
    state::deployment_id deployment;
    state::customer_id customer;
    double cost = 1; ///< tokens of prompt and expected answer, > 0
    route_priority priority = route_priority::normal;
    state::time_point deadline; ///< the request must start by this time
};

/// The refusal of a request. Its outcome is always "not run".
struct admission_refusal {
    std::uint64_t ticket = 0;
    state::failure failure;
    state::milliseconds retry_after{0}; ///< at least 1 s
};

/// Admission settings of one deployment.
struct admission_settings {
    double capacity = 64'000;               ///< maximum cost of running requests, in tokens
    double quantum = 1'000;                 ///< tokens per turn for a customer of weight 1, > 0
    std::size_t queue_limit = 1'000;        ///< maximum number of waiting requests of all customers
    std::size_t customer_queue_limit = 200; ///< maximum number of waiting requests of one customer
};

/// Hooks of admission control. No hook runs under a lock.
struct admission_hooks {
    std::function<void(std::uint64_t ticket)> on_start;
    std::function<void(const admission_refusal&)> on_refuse;
    /// Returns the tokens that a customer may start per turn, > 0. Called for each
    /// submitted request.
    std::function<double(const state::customer_id&, const admission_settings&)> quantum_of;
};

/// Holds the waiting and running requests of all deployments, each deployment in
/// one shard. Calls exactly one of `on_start` and `on_refuse` for each request,
/// unless the request is cancelled while it waits. Thread-safe.
class admission {
public:
    admission(admission_settings settings, admission_hooks hooks);

    /// Starts, queues or refuses the request. Refuses it immediately if the
    /// expected wait exceeds its deadline.
    void submit(const admission_request& request, state::time_point now);
    /// Records the end of a started request, frees its cost and starts waiting
    /// requests.
    void finish(const state::deployment_id& deployment, std::uint64_t ticket,
                state::time_point now);
    /// Removes a waiting request whose caller has disconnected. Returns whether the
    /// request was waiting.
    bool cancel(const state::deployment_id& deployment, std::uint64_t ticket);
    /// Refuses waiting requests whose deadline has passed. Must be called
    /// periodically.
    void expire(const state::deployment_id& deployment, state::time_point now);
    /// Sets the capacity, for example when a zone is drained or returned to
    /// service. Running requests finish. Waiting requests start as capacity
    /// becomes free; at capacity 0 none starts.
    void set_capacity(const state::deployment_id& deployment, double capacity,
                      state::time_point now);

    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t waiting(const state::deployment_id& deployment);
    /// Returns the total cost of running requests in tokens.
    [[nodiscard]] double running_cost(const state::deployment_id& deployment);

private:
    static constexpr std::size_t priority_count = state::enum_table<route_priority>::rows.size();

    struct customer_queue {
        std::array<std::deque<admission_request>, priority_count> waiting;
        std::size_t waiting_count = 0; ///< requests in `waiting`
        double waiting_cost = 0;       ///< total cost of the requests in `waiting`
        double deficit = 0;            ///< tokens that the customer may still start in this turn
        double quantum = 0;            ///< > 0
        bool quantum_added = false;    ///< whether the quantum was added to `deficit` in this turn
    };
    struct deployment_row {
        std::optional<double> capacity; ///< if empty, the capacity of the settings applies
        double running_cost = 0;
        double rate = 0;          ///< smoothed tokens of finished cost per second; 0 if unknown
        double finished_cost = 0; ///< cost of the requests that finished since `rate_window_start`
        std::optional<state::time_point> rate_window_start;
        std::size_t waiting_count = 0;                     ///< waiting requests of all customers
        std::unordered_map<std::uint64_t, double> running; ///< cost by ticket
        std::unordered_map<state::customer_id, customer_queue> customers;
        /// Customers with waiting requests, in the order of their turns. A customer whose
        /// requests were cancelled or expired stays until its turn.
        std::deque<state::customer_id> turns;
    };
    // Decisions made under a lock. Their hooks run after the lock is released.
    struct decisions {
        std::vector<std::uint64_t> started;
        std::vector<admission_refusal> refused;
    };

    [[nodiscard]] double capacity_of(const deployment_row& row) const;
    [[nodiscard]] state::milliseconds expected_wait(const deployment_row& row,
                                                    const customer_queue& queue, double cost) const;
    void start_waiting(deployment_row& row, decisions& decided) const;
    static void update_rate(deployment_row& row, double cost, state::time_point now);
    static void erase_idle_customers(deployment_row& row);
    void run_hooks(const decisions& decided) const;

    admission_settings m_settings;
    admission_hooks m_hooks;
    state::sharded_map<state::deployment_id, deployment_row> m_deployments;
};

} // namespace savoryrelay::coordination
