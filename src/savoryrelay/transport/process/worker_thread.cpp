// Implements the loop that runs the tasks.
#include "savoryrelay/transport/process/worker_thread.h"

#include "savoryrelay/transport/process/log.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace savoryrelay::transport {

worker_thread::worker_thread() : m_thread([this] { run_tasks(); }) {}

worker_thread::~worker_thread() {
    stop();
}

void worker_thread::post(std::function<void()> task) {
    {
        const std::scoped_lock lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
}

void worker_thread::repeat(state::milliseconds interval, std::function<void()> task) {
    {
        const std::scoped_lock lock(m_mutex);
        m_repeated.push_back({interval, std::move(task), std::chrono::steady_clock::now()});
    }
    m_changed.notify_one();
}

void worker_thread::stop() {
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::optional<std::function<void()>> worker_thread::next_task(std::unique_lock<std::mutex>& lock) {
    while (true) {
        if (!m_tasks.empty()) {
            auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            return task;
        }
        if (m_stopping) {
            return std::nullopt;
        }
        if (m_repeated.empty()) {
            m_changed.wait(lock);
            continue;
        }

        // Find the repeated task that is due first.
        const auto due = std::min_element(
            m_repeated.begin(), m_repeated.end(),
            [](const auto& left, const auto& right) { return left.next < right.next; });
        const auto now = std::chrono::steady_clock::now();
        if (due->next <= now) {
            due->next = now + due->interval;
            return due->run;
        }
        m_changed.wait_until(lock, due->next);
    }
}

void worker_thread::run_tasks() {
    std::unique_lock lock(m_mutex);
    while (auto task = next_task(lock)) {
        lock.unlock();
        try {
            (*task)();
        } catch (const std::exception& error) {
            log_warning("task_failed", {{"detail", error.what()}});
        }
        lock.lock();
    }
}

} // namespace savoryrelay::transport
