// Implements the histogram with Boost.Histogram and atomic counters.
#include "savoryrelay/state/metrics/histogram.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>

namespace savoryrelay::state {
namespace {

namespace bh = boost::histogram;

using axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
using thread_safe_count = bh::accumulators::count<std::uint64_t, true>;
using storage = bh::dense_storage<thread_safe_count>;

std::vector<double> edges_of(std::span<const double> bounds) {
    std::vector<double> edges{0};
    edges.insert(edges.end(), bounds.begin(), bounds.end());
    return edges;
}

} // namespace

struct histogram::counts {
    explicit counts(std::span<const double> bounds)
        : values(bh::make_histogram_with(storage(), axis(edges_of(bounds)))) {}

    bh::histogram<std::tuple<axis>, storage> values;
    std::atomic<double> sum{0};
};

histogram::histogram(std::span<const double> bounds) : m_counts(std::make_unique<counts>(bounds)) {}

histogram::~histogram() = default;

void histogram::record(double value) {
    m_counts->values(value);
    m_counts->sum.fetch_add(value, std::memory_order_relaxed);
}

histogram::summary histogram::read() const {
    summary result;
    const auto& bins = m_counts->values.axis();
    for (int i = 0; i < bins.size(); ++i) {
        result.count += static_cast<std::uint64_t>(m_counts->values.at(i).value());
        result.buckets.push_back({bins.bin(i).upper(), result.count});
    }
    result.count += static_cast<std::uint64_t>(m_counts->values.at(bins.size()).value());
    result.sum = m_counts->sum.load(std::memory_order_relaxed);
    return result;
}

} // namespace savoryrelay::state
