// Decides which waiting request starts next and which is refused. Customers
// share a deployment's capacity by weight and token cost (deficit round robin).
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

/// A request at the door of a deployment.
struct admission_request {
    std::uint64_t ticket = 0; ///< unique within the process
    state::deployment_id deployment;
    state::customer_id customer;
    double cost = 1; ///< tokens of prompt and expected answer, > 0
    route_priority priority = route_priority::normal;
    state::time_point deadline; ///< latest useful start
};

/// A refusal; its outcome is always "not run".
struct admission_refusal {
    std::uint64_t ticket = 0;
    state::failure failure;
    state::milliseconds retry_after{0}; ///< at least 1 s
};

/// Settings of one deployment's admission.
struct admission_settings {
    double capacity = 64'000;               ///< tokens of cost in flight
    double quantum = 1'000;                 ///< tokens per turn at weight 1, > 0
    std::size_t queue_limit = 1'000;        ///< waiting requests of all customers
    std::size_t customer_queue_limit = 200; ///< waiting requests of one customer
};

/// What varies. No hook runs under a lock.
struct admission_hooks {
    std::function<void(std::uint64_t ticket)> on_start;
    std::function<void(const admission_refusal&)> on_refuse;
    /// Tokens that a customer may start per turn, > 0; read at its first request.
    std::function<double(const state::customer_id&, const admission_settings&)> quantum_of;
};

/// Waiting and running requests by deployment; each deployment is in one shard.
/// Each request gets exactly one of `on_start` and `on_refuse`, unless it is
/// cancelled while it waits. Thread-safe.
class admission {
public:
    admission(admission_settings settings, admission_hooks hooks);

    /// Starts, queues or refuses the request. Refuses early when the expected
    /// wait passes its deadline.
    void submit(const admission_request& request, state::time_point now);
    /// A started request ended: frees its cost and starts others.
    void finish(const state::deployment_id& deployment, std::uint64_t ticket,
                state::time_point now);
    /// Removes a waiting request whose caller has gone. Returns whether it waited.
    bool cancel(const state::deployment_id& deployment, std::uint64_t ticket);
    /// Refuses waiting requests whose deadline has passed; called by a tick.
    void expire(const state::deployment_id& deployment, state::time_point now);
    /// Sets the capacity, for example when a zone is drained or returns.
    /// Running requests finish; waiting ones start when there is room. At 0
    /// nothing starts.
    void set_capacity(const state::deployment_id& deployment, double capacity,
                      state::time_point now);

    [[nodiscard]] std::size_t waiting(const state::deployment_id& deployment);
    /// Tokens of cost in flight.
    [[nodiscard]] double in_flight(const state::deployment_id& deployment);

private:
    static constexpr std::size_t priorities = state::enum_table<route_priority>::rows.size();

    struct customer_queue {
        std::array<std::deque<admission_request>, priorities> waiting;
        std::size_t count = 0; ///< requests in `waiting`
        double cost = 0;       ///< sum of their costs
        double deficit = 0;    ///< tokens that it may still start in this turn
        double quantum = 0;    ///< > 0
        bool has_turn = false; ///< its quantum has been added in this turn
    };
    struct deployment_row {
        std::optional<double> capacity; ///< nothing: that of the settings
        double running_cost = 0;
        double rate = 0; ///< tokens of cost finished a second, smoothed; 0: unknown
        double finished_cost = 0;
        std::optional<state::time_point> rate_since;
        std::size_t count = 0;                             ///< waiting requests of all customers
        std::unordered_map<std::uint64_t, double> running; ///< cost by ticket
        std::unordered_map<state::customer_id, customer_queue> customers;
        std::deque<state::customer_id> turns; ///< customers with waiting requests
    };
    // Decisions made under a lock, whose hooks run after it.
    struct decisions {
        std::vector<std::uint64_t> started;
        std::vector<admission_refusal> refused;
    };

    [[nodiscard]] double capacity_of(const deployment_row& row) const;
    [[nodiscard]] state::milliseconds expected_wait(const deployment_row& row,
                                                    const customer_queue& queue, double cost) const;
    void start_waiting(deployment_row& row, decisions& made) const;
    static void note_finished(deployment_row& row, double cost, state::time_point now);
    static void forget_idle(deployment_row& row);
    void run(const decisions& made) const;

    admission_settings m_settings;
    admission_hooks m_hooks;
    state::sharded_map<state::deployment_id, deployment_row> m_deployments;
};

} // namespace savoryrelay::coordination
