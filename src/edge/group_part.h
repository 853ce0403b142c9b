// Runs the steering of groups on the host that holds the lease: asks the
// runners for reports, and sends the orders that the steering decides.
#pragma once

#include "shared_state.h"

#include "platform/store_client.h"
#include "savoryrelay/coordination/lease/lease_coordinator.h"
#include "savoryrelay/coordination/serving/group_steering.h"
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

/// One lease covers the groups of all services. Steering, reports and orders
/// run on the control context; the lease has a thread of its own, because its
/// calls to the store block.
class group_part {
public:
    group_part(transport::io_threads& threads, platform::store_client& store, shared_state& shared,
               const protocol::edge_settings& settings, std::uint64_t incarnation,
               std::function<state::time_point()> now);

    void start();
    /// Gives up the lease when no order is on its way, and ends its thread.
    void stop();

    /// Whether this host holds the lease.
    [[nodiscard]] bool is_controller() const { return m_is_controller.load(); }
    /// A digest of the host that holds the lease came.
    void note_other_controller(state::time_point now);
    /// Some host had no answer from the runner; it is asked at once.
    void note_suspect(const state::endpoint_id& runner);
    /// What a host without the lease tells of a runner: no answer, or an answer
    /// that the controller did not get.
    void apply_told(const state::runner_sighting& sighting, state::time_point now);
    /// Runners that did not answer this host, the controller.
    [[nodiscard]] std::vector<state::endpoint_id> doubts();
    /// Asks runners that the controller doubts; answers are told as sightings.
    void ask_doubted(const std::vector<state::endpoint_id>& runners);
    /// What this host tells the others of the runners.
    [[nodiscard]] std::vector<state::runner_sighting> sightings(state::time_point now);

private:
    struct poll_state {
        bool is_asking = false;
        std::uint32_t failures = 0;
        state::time_point next{};
    };

    void maintain_lease();
    boost::asio::awaitable<void> run_steps();
    void step(state::time_point now);
    void ask_due_runners(state::time_point now);
    boost::asio::awaitable<void> ask(state::runner_record runner);
    boost::asio::awaitable<void> ask_once(state::runner_record runner);
    boost::asio::awaitable<void> send(state::runner_record runner, state::runner_order order);

    transport::io_threads& m_threads;
    shared_state& m_shared;
    const state::host_id m_host;
    const bool m_is_first_start;
    const state::milliseconds m_lease_wait; ///< without a holder's digest, before a try
    std::function<state::time_point()> m_now;
    coordination::lease_coordinator m_lease;
    std::map<std::string, coordination::group_steering> m_steerings; // control context only
    std::map<state::endpoint_id, poll_state> m_polls;                // control context only
    state::time_point m_free_told_at{};                              // control context only
    transport::endpoint_pool m_pool;
    std::atomic<bool> m_is_controller{false};
    std::atomic<bool> m_is_stopping{false};

    std::mutex m_mutex; // guards what follows
    state::time_point m_other_controller_at{};
    std::map<state::endpoint_id, state::time_point> m_suspects;
    std::set<state::endpoint_id> m_doubts;
    std::map<state::endpoint_id, state::time_point> m_doubted_at; // asked for the controller
    std::map<state::endpoint_id, state::time_point> m_vouched_at; // they answered

    transport::worker_thread m_lease_worker;
};

} // namespace savoryrelay::edge
