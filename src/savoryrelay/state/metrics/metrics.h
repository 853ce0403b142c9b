// Counters, gauges and latencies of one process. Names carry their unit.
#pragma once

#include "savoryrelay/state/metrics/histogram.h"

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

/// A label of a metric and its value.
struct metric_label {
    std::string name;
    std::string value;
};
using metric_labels = std::vector<metric_label>;

/// All metrics of a process by name. References stay valid for its lifetime.
class metrics {
public:
    metrics() = default;
    ~metrics() = default;
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// The counter called `name`, created at the first call. `name` ends in `_total`.
    counter& counter_of(const std::string& name) { return counter_of(name, {}); }
    /// The counter of one set of label values, of which there must be few.
    counter& counter_of(const std::string& name, const metric_labels& labels);
    /// The gauge called `name`, of one set of label values.
    gauge& gauge_of(const std::string& name, const metric_labels& labels = {});
    /// The quantiles called `name`, which ends in a unit, for example `_seconds`.
    quantiles& quantiles_of(const std::string& name);
    /// The histogram called `name`, which ends in `_seconds`, of one set of label
    /// values, with the buckets of `latency_bounds_s`.
    histogram& latency_of(const std::string& name, const metric_labels& labels);

    /// All metrics in Prometheus' text format, in the order of their names.
    [[nodiscard]] std::string to_prometheus() const;

private:
    template <typename Metric>
    struct named {
        std::string name;
        std::string labels; // as printed, without braces
        std::unique_ptr<Metric> metric;
    };
    /// `make` makes a metric that is not there yet.
    template <typename Metric, typename Make>
    static Metric& find_or_create(std::vector<named<Metric>>& rows, const std::string& name,
                                  const metric_labels& labels, Make make);

    mutable std::mutex m_mutex;
    std::vector<named<counter>> m_counters;    // guarded by m_mutex, sorted by name
    std::vector<named<gauge>> m_gauges;        // guarded by m_mutex, sorted by name
    std::vector<named<quantiles>> m_quantiles; // guarded by m_mutex, sorted by name
    std::vector<named<histogram>> m_latencies; // guarded by m_mutex, sorted by name
};

} // namespace savoryrelay::state
