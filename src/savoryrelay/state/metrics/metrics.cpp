// Implements the quantile estimation and the Prometheus text format.
#include "savoryrelay/state/metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <sstream>
#include <string_view>
#include <thread>
#include <tuple>

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

namespace {

// Escapes a label's value for the Prometheus format. Line breaks become spaces.
std::string escape_label_value(const std::string& value) {
    std::string text;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

std::string to_text(const metric_labels& labels) {
    std::string text;
    for (const auto& label : labels) {
        text +=
            (text.empty() ? "" : ",") + label.name + "=\"" + escape_label_value(label.value) + "\"";
    }
    return text;
}

// Returns the metric's name with its labels in braces. `first_label` comes first
// and may be empty.
std::string with_labels(const std::string& name, const std::string& first_label,
                        const std::string& labels) {
    const auto all = first_label + (first_label.empty() || labels.empty() ? "" : ",") + labels;
    return all.empty() ? name : name + "{" + all + "}";
}

// Writes one TYPE line before the rows of each metric name. Rows of one name must
// be written consecutively.
class type_line_writer {
public:
    explicit type_line_writer(std::ostream& out) : m_out(out) {}
    void write_type(const std::string& name, std::string_view type) {
        if (name != m_last_name) {
            m_out << "# TYPE " << name << ' ' << type << '\n';
            m_last_name = name;
        }
    }

private:
    std::ostream& m_out;
    std::string m_last_name;
};

} // namespace

template <typename Metric, typename Make>
Metric& metrics::find_or_create(std::vector<named_metric<Metric>>& rows, const std::string& name,
                                const metric_labels& labels, Make make) {
    const auto key = std::tuple(name, to_text(labels));
    const auto position =
        std::lower_bound(rows.begin(), rows.end(), key, [](const auto& row, const auto& k) {
            return std::tie(row.name, row.labels) < k;
        });
    if (position != rows.end() && std::tie(position->name, position->labels) == key) {
        return *position->metric;
    }
    return *rows.insert(position, {name, std::get<1>(key), make()})->metric;
}

counter& metrics::counter_of(const std::string& name, const metric_labels& labels) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_counters, name, labels, [] { return std::make_unique<counter>(); });
}

gauge& metrics::gauge_of(const std::string& name, const metric_labels& labels) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_gauges, name, labels, [] { return std::make_unique<gauge>(); });
}

quantiles& metrics::quantiles_of(const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_quantiles, name, {}, [] { return std::make_unique<quantiles>(); });
}

histogram& metrics::latency_of(const std::string& name, const metric_labels& labels) {
    const std::scoped_lock lock(m_mutex);
    return find_or_create(m_latencies, name, labels,
                          [] { return std::make_unique<histogram>(latency_bounds_s); });
}

std::string metrics::to_prometheus() const {
    std::ostringstream out;
    type_line_writer types(out);
    const std::scoped_lock lock(m_mutex);
    for (const auto& row : m_counters) {
        types.write_type(row.name, "counter");
        out << with_labels(row.name, {}, row.labels) << ' ' << row.metric->value() << '\n';
    }
    for (const auto& row : m_gauges) {
        types.write_type(row.name, "gauge");
        out << with_labels(row.name, {}, row.labels) << ' ' << row.metric->value() << '\n';
    }
    for (const auto& row : m_quantiles) {
        const auto summary = row.metric->read();
        types.write_type(row.name, "summary");
        out << row.name << "{quantile=\"0.5\"} " << summary.p50 << '\n'
            << row.name << "{quantile=\"0.95\"} " << summary.p95 << '\n'
            << row.name << "{quantile=\"0.99\"} " << summary.p99 << '\n'
            << row.name << "_count " << summary.count << '\n';
    }
    for (const auto& row : m_latencies) {
        const auto summary = row.metric->read();
        types.write_type(row.name, "histogram");
        for (const auto& bucket : summary.buckets) {
            std::ostringstream bound;
            bound << "le=\"" << bucket.upper_bound << '"';
            out << with_labels(row.name + "_bucket", bound.str(), row.labels) << ' ' << bucket.count
                << '\n';
        }
        out << with_labels(row.name + "_bucket", "le=\"+Inf\"", row.labels) << ' ' << summary.count
            << '\n'
            << with_labels(row.name + "_sum", {}, row.labels) << ' ' << summary.sum << '\n'
            << with_labels(row.name + "_count", {}, row.labels) << ' ' << summary.count << '\n';
    }
    return out.str();
}

} // namespace savoryrelay::state
