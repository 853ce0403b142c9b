// Counters and latency quantiles of one process. Names carry their unit.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A counter that only grows.
class counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that rises and falls.
class gauge {
public:
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Quantiles of a stream of values, estimated by Boost.Accumulators in constant
/// memory. Writers are spread over shards, each under its own lock.
class quantiles {
public:
    quantiles();
    ~quantiles();
    quantiles(const quantiles&) = delete;
    quantiles& operator=(const quantiles&) = delete;

    void record(double value);

    /// Estimates over all values, weighted by each shard's count. 0 without values.
    struct summary {
        std::uint64_t count = 0;
        double p50 = 0;
        double p95 = 0;
        double p99 = 0;
    };
    [[nodiscard]] summary read() const;

private:
    struct shard;
    std::vector<std::unique_ptr<shard>> m_shards;
};

/// All metrics of a process by name. References stay valid for its lifetime.
class metrics {
public:
    metrics() = default;
    ~metrics() = default;
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// The counter called `name`, created at the first call. `name` ends in `_total`.
    counter& counter_of(const std::string& name);
    /// The gauge called `name`.
    gauge& gauge_of(const std::string& name);
    /// The quantiles called `name`, which ends in a unit, for example `_seconds`.
    quantiles& quantiles_of(const std::string& name);

    /// All metrics in Prometheus' text format, in the order of their names.
    [[nodiscard]] std::string to_prometheus() const;

private:
    template <typename Metric>
    struct named {
        std::string name;
        std::unique_ptr<Metric> metric;
    };
    template <typename Metric>
    static Metric& find_or_create(std::vector<named<Metric>>& rows, const std::string& name);

    mutable std::mutex m_mutex;
    std::vector<named<counter>> m_counters;    // guarded by m_mutex, sorted by name
    std::vector<named<gauge>> m_gauges;        // guarded by m_mutex, sorted by name
    std::vector<named<quantiles>> m_quantiles; // guarded by m_mutex, sorted by name
};

} // namespace savoryrelay::state
