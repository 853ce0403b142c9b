// Endpoints with a model of their service time, in simulated time, for the
// routing benchmarks. Times are milliseconds.
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

/// Events in the order of their time; equal times keep their order.
class event_queue {
public:
    void at(double time, std::function<void()> run) {
        m_events.push({time, m_next++, std::move(run)});
    }
    [[nodiscard]] double now() const { return m_now; }
    /// Runs all events up to `until`.
    void run(double until) {
        while (!m_events.empty() && m_events.top().time <= until) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.run();
        }
    }

private:
    struct event {
        double time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_next = 0;
    double m_now = 0;
};

/// Service time of an engine with continuous batching. The time between tokens
/// is base + per_request * batch + per_prompt_token * prompt tokens in the step.
struct engine_model {
    double base_ms = 18;
    double per_request_ms = 0.17;
    double per_prompt_token_ms = 0.012;
    std::uint32_t prompt_tokens_per_step = 1'024;
    std::size_t batch_limit = 160;
    std::size_t cached_prefixes = 60; ///< least recently used evicted first
    double slowness = 1;              ///< factor of a straggler
};

/// A request as the engine sees it.
struct engine_request {
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t answer_tokens = 1;
    /// Called at the first token; `cached` tells whether the prefix was.
    std::function<void(bool cached)> on_first_token;
    /// Called after the last token.
    std::function<void()> on_end;
};

/// One endpoint.
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

    /// Changes the factor of later steps.
    void set_slowness(double slowness) { m_model.slowness = slowness; }

    /// Called after each step with its duration and the batch.
    std::function<void(double duration_ms, std::size_t batch)> on_step;

private:
    struct waiting {
        engine_request request;
        std::uint32_t tokens_left;
        bool is_prepared;
        bool was_cached;
    };
    struct active {
        std::uint64_t last_step;
        std::function<void()> on_end;
        bool operator<(const active& other) const { return last_step > other.last_step; }
    };

    bool touch_prefix(std::uint64_t prefix) {
        const auto found = m_cached.find(prefix);
        if (found != m_cached.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            return true;
        }
        m_order.push_front(prefix);
        m_cached[prefix] = m_order.begin();
        if (m_order.size() > m_model.cached_prefixes) {
            m_cached.erase(m_order.back());
            m_order.pop_back();
        }
        return false;
    }

    // Processes as much of the prompts as one step takes and moves complete ones
    // to `started`. Returns the prompt tokens processed.
    std::uint32_t process_prompts(std::vector<waiting>& started) {
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
            const auto part = std::min(budget, next.tokens_left);
            next.tokens_left -= part;
            budget -= part;
            if (next.tokens_left == 0) {
                started.push_back(std::move(next));
                m_waiting.pop_front();
            }
        }
        return m_model.prompt_tokens_per_step - budget;
    }

    void step() {
        std::vector<waiting> started;
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
        m_events.at(m_events.now() + duration,
                    [this, duration, batch, started = std::move(started)]() mutable {
                        ++m_step;
                        if (on_step) {
                            on_step(duration, batch - started.size());
                        }
                        for (auto& request : started) {
                            request.request.on_first_token(request.was_cached);
                            m_active.push({m_step + request.request.answer_tokens - 1,
                                           std::move(request.request.on_end)});
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
    std::deque<waiting> m_waiting;
    std::priority_queue<active> m_active;
    std::uint64_t m_step = 0;
    bool m_is_stepping = false;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cached;
};

/// The value at `part` (0 to 1) of `values`, which it sorts.
inline double quantile(std::vector<double>& values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

} // namespace savoryrelay::bench
