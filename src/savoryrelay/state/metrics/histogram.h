// Defines a latency histogram with fixed, cumulative buckets as Prometheus expects.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace savoryrelay::state {

/// Upper bounds of the latency buckets in seconds. They range from a fraction of
/// the shortest latency target to the longest deadline of a request.
inline constexpr double latency_bounds_s[] = {0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
                                              0.5,   0.75, 1,   1.5,  2,   4,   8};

/// Counts values by bucket. Thread-safe and lock-free.
class histogram {
public:
    /// `bounds` are the ascending upper bounds of the buckets. Values above the
    /// last bound are counted in an overflow bucket.
    explicit histogram(std::span<const double> bounds);
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /// Adds a value.
    void record(double value);

    /// A bucket with the number of all values up to its upper bound.
    struct bucket {
        double upper_bound = 0;
        std::uint64_t count = 0;
    };
    /// The counts at one time.
    struct summary {
        std::vector<bucket> buckets; ///< ascending, without the overflow bucket
        std::uint64_t count = 0;     ///< number of all values
        double sum = 0;
    };
    /// Returns the current counts.
    [[nodiscard]] summary read() const;

private:
    struct counts;
    std::unique_ptr<counts> m_counts;
};

} // namespace savoryrelay::state
