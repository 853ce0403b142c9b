// Controls the groups on the host that holds the lease: requests reports from the runners
// and sends the orders that the group reconcilers plan.
#pragma once

#include "runner_signals.h"
#include "shared_state.h"

#include "platform/runner_client.h"
#include "platform/store_client.h"
#include "savoryrelay/coordination/lease/lease_coordinator.h"
#include "savoryrelay/coordination/serving/group_reconciler.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/process/io_threads.h"
#include "savoryrelay/transport/process/worker_thread.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace savoryrelay::edge {

/// Controls the groups of all services under one lease. The control context plans orders
/// and exchanges reports and orders with the runners. The lease has its own thread, because
/// its calls to the store block.
class group_part {
public:
    group_part(transport::io_threads& threads, platform::store_client& store, shared_state& shared,
               runner_signals& signals, const protocol::edge_settings& settings,
               std::uint64_t incarnation, std::function<state::time_point()> now);

    void start();
    /// Plans no further orders, and releases the lease once no order is in flight.
    void resign();
    /// Ends the thread of the lease.
    void stop();

    /// Returns whether this host holds the lease.
    [[nodiscard]] bool is_controller() const { return m_is_controller.load(); }
    /// Records that a digest of the lease holder arrived at `at`, here or at the hub.
    void note_controller_digest(state::time_point at);
    /// Returns the time since the last digest of the lease holder; 0 if this host holds it.
    [[nodiscard]] state::milliseconds controller_age(state::time_point now);
    /// Records that a host got no answer from the runner, and makes its next report request
    /// due immediately.
    void report_suspect(const state::endpoint_id& runner);
    /// Applies what a host without the lease has observed: the runner did not answer that
    /// host, or it answered that host but not the controller.
    void apply_peer_observation(const state::runner_observation& observation,
                                state::time_point now);
    /// Returns the runners that did not answer this host while it is the controller.
    [[nodiscard]] std::vector<state::endpoint_id> runners_to_confirm();
    /// Requests reports from the runners that did not answer the controller. The observations
    /// tell the controller which of them answered.
    void poll_runners_to_confirm(const std::vector<state::endpoint_id>& runners);
    /// Returns the observations of runners that this host sends to the others.
    [[nodiscard]] std::vector<state::runner_observation> observations(state::time_point now);

private:
    struct poll_state {
        bool is_in_progress = false;
        std::uint32_t failures = 0;
        state::time_point next{};
    };

    /// Returns whether this host may control the groups. One that is cut off from the runners
    /// can neither observe nor order them.
    [[nodiscard]] bool wants_lease() const;
    void maintain_lease();
    /// Returns the time without a controller's digest after which this host tries to take
    /// the lease.
    [[nodiscard]] state::milliseconds takeover_delay() const;
    boost::asio::awaitable<void> run_steps();
    /// Returns a hook that records what `runner` says of itself in an answer.
    [[nodiscard]] platform::answer_head_hook signal_hook(const state::runner_record& runner);
    void plan_orders(state::time_point now);
    void poll_due_runners(state::time_point now);
    boost::asio::awaitable<void> poll_runner(state::runner_record runner);
    boost::asio::awaitable<void> poll_for_controller(state::runner_record runner);
    boost::asio::awaitable<void> send_order(state::runner_record runner, state::runner_order order);

    transport::io_threads& m_threads;
    shared_state& m_shared;
    runner_signals& m_signals;
    const state::host_id m_host;
    const bool m_is_first_start;
    const double m_processor_share;
    const bool m_has_relays; // this host probes endpoints when in doubt
    std::function<state::time_point()> m_now;
    coordination::lease_coordinator m_lease;
    // Of the services, under the fencing number m_reconcilers_epoch. Control context only.
    std::map<std::string, coordination::group_reconciler> m_reconcilers;
    std::uint64_t m_reconcilers_epoch = 0;            // control context only
    std::map<state::endpoint_id, poll_state> m_polls; // control context only
    state::time_point m_holder_since{};               // control context only
    state::time_point m_free_models_sent_at{};        // control context only
    transport::endpoint_pool m_pool;
    std::atomic<bool> m_is_controller{false};
    std::atomic<bool> m_is_resigning{false};

    std::mutex m_mutex; // guards the members up to m_confirmed_at
    state::time_point m_controller_digest_at{};
    // When a call of this host or an observation of a peer last got no answer from the runner.
    std::map<state::endpoint_id, state::time_point> m_last_suspected_at;
    // Runners that did not answer this host's last report request as the controller.
    std::set<state::endpoint_id> m_runners_to_confirm;
    std::map<state::endpoint_id, state::time_point> m_confirmation_polled_at; // last request
    std::map<state::endpoint_id, state::time_point> m_confirmed_at;           // last answer

    transport::worker_thread m_lease_worker;
};

} // namespace savoryrelay::edge
