// Simulates endpoints and their service times for the benchmarks that run in
// simulated time. All times are in milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

namespace savoryrelay::bench {

/// Runs callbacks in the order of their simulated time. Callbacks with the same
/// time run in the order in which they were scheduled.
class event_queue {
public:
    /// Schedules `callback` for `time`.
    void schedule_at(double time, std::function<void()> callback) {
        m_events.push({time, m_next_sequence++, std::move(callback)});
    }
    [[nodiscard]] double now() const { return m_now; }
    /// Runs all callbacks up to and including `until`.
    void run_until(double until) {
        while (!m_events.empty() && m_events.top().time <= until) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.callback();
        }
    }

private:
    struct event {
        double time;
        std::uint64_t sequence;
        std::function<void()> callback;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_next_sequence = 0;
    double m_now = 0;
};

/// Parameters of the service time of an engine with continuous batching. Each
/// step generates one token for each request in the batch and takes
/// slowness * (base_ms + per_request_ms * requests in the batch +
/// per_prompt_token_ms * prompt tokens processed in the step).
struct engine_model {
    double base_ms = 18;
    double per_request_ms = 0.17;
    double per_prompt_token_ms = 0.012;
    std::uint32_t prompt_tokens_per_step = 1'024;
    std::size_t batch_limit = 160;
    std::size_t cached_prefixes = 60; ///< the least recently used is evicted first
    double slowness = 1;              ///< above 1 for a straggler
};

/// A request to an engine.
struct engine_request {
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    std::uint32_t own_tokens = 0; ///< prompt tokens after the prefix
    std::uint32_t answer_tokens = 1;
    /// Called at the first token; `cached` is true if the engine had the prefix
    /// in its cache.
    std::function<void(bool cached)> on_first_token;
    /// Called after the last token.
    std::function<void()> on_end;
};

/// Simulates the engine of one endpoint.
class simulated_engine {
public:
    simulated_engine(event_queue& events, engine_model model) : m_events(events), m_model(model) {}

    void submit(engine_request request) {
        m_waiting.push_back({std::move(request), 0, false, false});
        if (!m_is_stepping) {
            step();
        }
    }
    [[nodiscard]] std::size_t running() const { return m_active.size(); }
    [[nodiscard]] std::size_t queued() const { return m_waiting.size(); }

    /// Changes the slowness of the steps that start after this call.
    void set_slowness(double slowness) { m_model.slowness = slowness; }

    /// Called after each step with its duration and the number of requests that
    /// had their first token before the step.
    std::function<void(double duration_ms, std::size_t batch)> on_step;

private:
    struct waiting_request {
        engine_request request;
        std::uint32_t tokens_left; ///< prompt tokens not yet processed
        bool is_prepared;          ///< true once tokens_left and was_cached are set
        bool was_cached;
    };
    struct active_request {
        std::uint64_t last_step; ///< the step that generates the last token
        std::function<void()> on_end;
        bool operator<(const active_request& other) const { return last_step > other.last_step; }
    };

    // Makes `prefix` the most recently used one and returns whether it was cached.
    bool touch_prefix(std::uint64_t prefix) {
        const auto found = m_cached_prefixes.find(prefix);
        if (found != m_cached_prefixes.end()) {
            m_prefixes_by_use.splice(m_prefixes_by_use.begin(), m_prefixes_by_use, found->second);
            return true;
        }
        m_prefixes_by_use.push_front(prefix);
        m_cached_prefixes[prefix] = m_prefixes_by_use.begin();
        if (m_prefixes_by_use.size() > m_model.cached_prefixes) {
            m_cached_prefixes.erase(m_prefixes_by_use.back());
            m_prefixes_by_use.pop_back();
        }
        return false;
    }

    // Processes as many prompt tokens as fit into one step and moves the requests
    // with complete prompts to `started`. Returns the number of tokens processed.
    std::uint32_t process_prompts(std::vector<waiting_request>& started) {
        std::uint32_t budget = m_model.prompt_tokens_per_step;
        while (budget > 0 && !m_waiting.empty() &&
               m_active.size() + started.size() < m_model.batch_limit) {
            auto& next = m_waiting.front();
            if (!next.is_prepared) {
                next.was_cached = touch_prefix(next.request.prefix);
                next.tokens_left =
                    next.request.own_tokens + (next.was_cached ? 0 : next.request.prefix_tokens);
                next.is_prepared = true;
            }
            const auto processed = std::min(budget, next.tokens_left);
            next.tokens_left -= processed;
            budget -= processed;
            if (next.tokens_left == 0) {
                started.push_back(std::move(next));
                m_waiting.pop_front();
            }
        }
        return m_model.prompt_tokens_per_step - budget;
    }

    void step() {
        std::vector<waiting_request> started;
        const auto prompt_tokens = process_prompts(started);
        const auto batch = m_active.size() + started.size();
        m_is_stepping = batch > 0 || !m_waiting.empty();
        if (!m_is_stepping) {
            return;
        }
        const double duration =
            m_model.slowness *
            (m_model.base_ms + m_model.per_request_ms * static_cast<double>(batch) +
             m_model.per_prompt_token_ms * static_cast<double>(prompt_tokens));
        m_events.schedule_at(m_events.now() + duration,
                             [this, duration, batch, started = std::move(started)]() mutable {
                                 ++m_step;
                                 if (on_step) {
                                     on_step(duration, batch - started.size());
                                 }
                                 for (auto& entry : started) {
                                     entry.request.on_first_token(entry.was_cached);
                                     m_active.push({m_step + entry.request.answer_tokens - 1,
                                                    std::move(entry.request.on_end)});
                                 }
                                 while (!m_active.empty() && m_active.top().last_step <= m_step) {
                                     const auto on_end = m_active.top().on_end;
                                     m_active.pop();
                                     on_end();
                                 }
                                 step();
                             });
    }

    event_queue& m_events;
    engine_model m_model;
    std::deque<waiting_request> m_waiting;
    std::priority_queue<active_request> m_active;
    std::uint64_t m_step = 0;
    bool m_is_stepping = false;
    std::list<std::uint64_t> m_prefixes_by_use;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cached_prefixes;
};

/// Returns the quantile of `values` at `probability` (0 to 1), or 0 if there are
/// no values. Sorts `values`.
inline double quantile(std::vector<double>& values, double probability) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

} // namespace savoryrelay::bench
