// The bookings of a daemon: the coordinator, its threads, and the hooks that
// connect it to the callers' front end, the platform and the services.
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
        transport::io_threads& io_threads; ///< run the exchanges with services
        const state::snapshot_cell<state::configuration>& configuration;
        state::metrics& metrics;
        /// True when that run of a member has ended or was declared dead.
        std::function<bool(const state::booking_owner&)> is_gone;
        std::function<state::time_point()> now;
    };

    /// `self` must be unique to this run of the process. Starts the threads.
    booking_part(state::booking_owner self, dependencies hooks);
    ~booking_part();
    booking_part(const booking_part&) = delete;
    booking_part& operator=(const booking_part&) = delete;

    /// Hooks for the callers' front end, which call this object.
    [[nodiscard]] transport::booking_hooks hooks();

    /// Waits until every outcome is durable, for at most `limit`. Returns the
    /// number of bookings that are not settled. Call it when no request is open.
    [[nodiscard]] std::size_t wait_until_settled(state::milliseconds limit);

    /// Ends the threads. The socket threads must still run.
    void stop();

private:
    using begin_completion =
        std::function<void(state::attempt<std::optional<transport::stored_answer>>)>;
    using finish_completion = std::function<void(state::attempt<state::done>)>;
    using answer_type = state::attempt<state::booking_answer>;

    /// A call between `begin` and the completion of `finish`.
    /// Invariant: `begun` is empty once the call was dispatched.
    struct open_call {
        begin_completion begun;
        finish_completion ended;
        std::optional<answer_type> answer; ///< given before `finish` was called
    };

    void begin(const coordination::call& call, state::time_point now, begin_completion completion);
    void finish(const coordination::call& call, transport::booking_end end,
                const transport::stored_answer& answer, finish_completion completion);
    void dispatch(const std::string& call);
    void complete(const std::string& call, const answer_type& answer);
    void run_flushes();
    void announce_progress();

    dependencies m_hooks;
    transport::service_client m_services;
    coordination::booking_coordinator m_coordinator;
    state::sharded_map<std::string, open_call> m_open; // by request identifier

    std::mutex m_mutex;
    std::condition_variable m_progress; // after each flush and each recovery
    std::thread m_flushing;
    transport::worker_thread m_recovery;
};

} // namespace savoryrelay::daemon
