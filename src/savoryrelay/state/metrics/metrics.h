// Defines the counters, gauges and latency metrics of one process. The names of
// counters end in `_total`, and the names of latency metrics end in their unit.
#pragma once

#include "savoryrelay/state/metrics/histogram.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A counter that never decreases.
class counter {
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that can increase and decrease.
class gauge {
public:
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Estimates quantiles of a stream of values with Boost.Accumulators in constant
/// memory. Threads are distributed over shards, each under its own lock.
class quantiles {
public:
    quantiles();
    ~quantiles();
    quantiles(const quantiles&) = delete;
    quantiles& operator=(const quantiles&) = delete;

    /// Adds a value.
    void record(double value);

    /// The means of the shards' estimates, weighted by the shards' counts. They are 0
    /// when no value has been recorded.
    struct summary {
        std::uint64_t count = 0;
        double p50 = 0;
        double p95 = 0;
        double p99 = 0;
    };
    /// Returns the current estimates.
    [[nodiscard]] summary read() const;

private:
    struct shard;
    std::vector<std::unique_ptr<shard>> m_shards;
};

/// The name and the value of a metric's label.
struct metric_label {
    std::string name;
    std::string value;
};
using metric_labels = std::vector<metric_label>;

/// All metrics of a process by name. Returned references stay valid as long as this
/// object exists. Thread-safe.
class metrics {
public:
    metrics() = default;
    ~metrics() = default;
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Returns the counter called `name`, which ends in `_total`. This and the
    /// following functions create the metric at the first call.
    counter& counter_of(const std::string& name) { return counter_of(name, {}); }
    /// Returns the counter for one set of label values. Each set is a separate time
    /// series, so a name must have few of them.
    counter& counter_of(const std::string& name, const metric_labels& labels);
    /// Returns the gauge called `name` for one set of label values.
    gauge& gauge_of(const std::string& name, const metric_labels& labels = {});
    /// Returns the quantiles called `name`, which ends in a unit such as `_seconds`.
    quantiles& quantiles_of(const std::string& name);
    /// Returns the histogram called `name`, which ends in `_seconds`, for one set of
    /// label values. Its buckets are those of `latency_bounds_s`.
    histogram& latency_of(const std::string& name, const metric_labels& labels);

    /// Returns all metrics in Prometheus' text format, by type and then by name.
    [[nodiscard]] std::string to_prometheus() const;

private:
    template <typename Metric>
    struct named_metric {
        std::string name;
        std::string labels; // in Prometheus' format, without braces
        std::unique_ptr<Metric> metric;
    };
    /// Finds a metric, or inserts the one that `make` returns.
    template <typename Metric, typename Make>
    static Metric& find_or_create(std::vector<named_metric<Metric>>& rows, const std::string& name,
                                  const metric_labels& labels, Make make);

    mutable std::mutex m_mutex;
    std::vector<named_metric<counter>> m_counters;    // guarded by m_mutex, sorted by name
    std::vector<named_metric<gauge>> m_gauges;        // guarded by m_mutex, sorted by name
    std::vector<named_metric<quantiles>> m_quantiles; // guarded by m_mutex, sorted by name
    std::vector<named_metric<histogram>> m_latencies; // guarded by m_mutex, sorted by name
};

} // namespace savoryrelay::state
