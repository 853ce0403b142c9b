// Runs the bookings of a daemon: owns the booking coordinator and its threads,
// and connects it to the callers' front end, the platform and the services.
#pragma once

#include "savoryrelay/coordination/booking/booking_coordinator.h"
#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/transport/caller/booking_hooks.h"
#include "savoryrelay/transport/process/worker_thread.h"
#include "savoryrelay/transport/service_client/service_client.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace savoryrelay::daemon {

/// Owns the booking coordinator, its flushing thread and its recovery thread.
class booking_part {
public:
    struct dependencies {
        state::platform_hooks platform;
        transport::io_threads& io_threads; ///< threads that send the requests to services
        const state::snapshot_cell<state::configuration>& configuration;
        state::metrics& metrics;
        /// Returns true if the owner's incarnation has ended or was declared dead.
        std::function<bool(const state::booking_owner&)> is_gone;
        std::function<state::time_point()> now;
    };

    /// Starts the threads. `self` must be unique to this incarnation of the daemon.
    booking_part(state::booking_owner self, dependencies deps);
    ~booking_part();
    booking_part(const booking_part&) = delete;
    booking_part& operator=(const booking_part&) = delete;

    /// Returns the hooks through which the callers' front end calls this object.
    [[nodiscard]] transport::booking_hooks hooks();

    /// Waits until every outcome is durable, but not longer than `limit`. Returns
    /// the number of bookings that are not settled. Call it when no request is open.
    [[nodiscard]] std::size_t wait_until_settled(state::milliseconds limit);

    /// Stops the threads. The socket threads must still be running.
    void stop();

private:
    using begin_completion =
        std::function<void(state::attempt<std::optional<transport::stored_answer>>)>;
    using finish_completion = std::function<void(state::attempt<state::done>)>;
    using answer_type = state::attempt<state::booking_answer>;

    /// Completions of a call between `begin` and the end of `finish`.
    /// Invariant: `on_begun` is empty once the call has been dispatched.
    struct open_call {
        begin_completion on_begun;
        finish_completion on_finished;
        std::optional<answer_type> answer; ///< set if it arrives before `finish` is called
    };

    void begin(const coordination::call& call, state::time_point now, begin_completion completion);
    void finish(const coordination::call& call, transport::booking_end end,
                const transport::stored_answer& answer, finish_completion completion);
    void dispatch(const std::string& request_id);
    void complete(const std::string& request_id, const answer_type& answer);
    void flush_loop();
    void announce_progress();

    dependencies m_dependencies;
    transport::service_client m_services;
    coordination::booking_coordinator m_coordinator;
    state::sharded_map<std::string, open_call> m_open_calls; // by request id

    std::mutex m_mutex;
    std::condition_variable m_progress_made; // notified after each flush and each recovery
    std::thread m_flush_thread;
    transport::worker_thread m_recovery_worker;
};

} // namespace savoryrelay::daemon
