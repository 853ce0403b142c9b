// Quantile estimation and the Prometheus text format.
#include "savoryrelay/state/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <sstream>
#include <thread>

namespace savoryrelay::state {
namespace {

namespace acc = boost::accumulators;

constexpr std::array probabilities{0.5, 0.95, 0.99};
constexpr std::size_t shard_count = 8;

using accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

} // namespace

struct quantiles::shard {
    shard() : values(acc::extended_p_square_probabilities = probabilities) {}

    mutable std::mutex mutex;
    accumulator values; // guarded by mutex
};

quantiles::quantiles() {
    for (std::size_t i = 0; i < shard_count; ++i) {
        m_shards.push_back(std::make_unique<shard>());
    }
}

quantiles::~quantiles() = default;

void quantiles::record(double value) {
    const auto index = std::hash<std::thread::id>{}(std::this_thread::get_id()) % shard_count;
    auto& target = *m_shards[index];
    const std::scoped_lock lock(target.mutex);
    target.values(value);
}

quantiles::summary quantiles::read() const {
    std::uint64_t total = 0;
    std::array<double, probabilities.size()> weighted{};
    for (const auto& each : m_shards) {
        const std::scoped_lock lock(each->mutex);
        const auto count = acc::count(each->values);
        if (count == 0) {
            continue;
        }
        total += count;
        const auto estimates = acc::extended_p_square(each->values);
        for (std::size_t i = 0; i < probabilities.size(); ++i) {
            weighted[i] += estimates[static_cast<std::ptrdiff_t>(i)] * static_cast<double>(count);
        }
    }
    if (total == 0) {
        return {};
    }
    const auto divisor = static_cast<double>(total);
    return {total, weighted[0] / divisor, weighted[1] / divisor, weighted[2] / divisor};
}

template <typename Metric>
Metric& metrics::find_or_create(std::vector<named<Metric>>& rows, const std::string& name) {
    const auto place =
        std::lower_bound(rows.begin(), rows.end(), name,
                         [](const auto& row, const auto& n) { return row.name < n; });
    if (place != rows.end() && place->name == name) {
        return *place->metric;
    }
    return *rows.insert(place, {name, std::make_unique<Metric>()})->metric;
}

counter& metrics::counter_of(const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_counters, name);
}

gauge& metrics::gauge_of(const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_gauges, name);
}

quantiles& metrics::quantiles_of(const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_quantiles, name);
}

std::string metrics::to_prometheus() const {
    std::ostringstream out;
    const std::scoped_lock lock(m_mutex);
    for (const auto& row : m_counters) {
        out << "# TYPE " << row.name << " counter\n"
            << row.name << ' ' << row.metric->value() << '\n';
    }
    for (const auto& row : m_gauges) {
        out << "# TYPE " << row.name << " gauge\n"
            << row.name << ' ' << row.metric->value() << '\n';
    }
    for (const auto& row : m_quantiles) {
        const auto summary = row.metric->read();
        out << "# TYPE " << row.name << " summary\n"
            << row.name << "{quantile=\"0.5\"} " << summary.p50 << '\n'
            << row.name << "{quantile=\"0.95\"} " << summary.p95 << '\n'
            << row.name << "{quantile=\"0.99\"} " << summary.p99 << '\n'
            << row.name << "_count " << summary.count << '\n';
    }
    return out.str();
}

} // namespace savoryrelay::state
