// A thread that runs posted tasks in order, and repeated tasks at their intervals.
#pragma once

#include "savoryrelay/state/core/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace savoryrelay::transport {

/// Runs blocking tasks on a thread of its own. Waits on a condition variable while
/// idle. A task that throws is logged as `task_failed`; a repeated one runs again.
class worker_thread {
public:
    worker_thread();
    /// Runs the queued tasks, then ends the thread.
    ~worker_thread();
    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    /// Queues `task` behind the tasks that were posted before.
    void post(std::function<void()> task);
    /// Runs `task` as soon as possible and then again each `interval`, counted from the
    /// start of the previous run. Posted tasks run before repeated tasks that are due.
    void repeat(state::milliseconds interval, std::function<void()> task);
    /// Runs the queued tasks, then ends the thread. Tasks posted later are dropped.
    void stop();

private:
    struct repeated_task {
        state::milliseconds interval{0};
        std::function<void()> run;
        state::time_point next{};
    };

    void run_tasks();
    std::optional<std::function<void()>> next_task(std::unique_lock<std::mutex>& lock);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks; // guarded by m_mutex
    std::deque<repeated_task> m_repeated;      // guarded by m_mutex
    bool m_stopping = false;                   // guarded by m_mutex
    std::thread m_thread;
};

} // namespace savoryrelay::transport
