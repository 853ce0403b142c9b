// A latency histogram with fixed buckets, in the shape that Prometheus reads.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace savoryrelay::state {

/// Upper bounds of latency buckets in seconds, from a fraction of the shortest
/// target to the longest deadline of the sheets.
inline constexpr double latency_bounds_s[] = {0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
                                              0.5,   0.75, 1,   1.5,  2,   4,   8};

/// Counts values by bucket. Thread-safe without a lock.
class histogram {
public:
    /// `bounds` are the upper bounds of the buckets, ascending; values above the
    /// last one fall into a bucket of their own.
    explicit histogram(std::span<const double> bounds);
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void record(double value);

    /// A bucket and the number of values up to its bound.
    struct bucket {
        double upper_bound = 0;
        std::uint64_t count = 0;
    };
    struct summary {
        std::vector<bucket> buckets; ///< ascending, without the one above the last bound
        std::uint64_t count = 0;     ///< of all values
        double sum = 0;
    };
    [[nodiscard]] summary read() const;

private:
    struct counts;
    std::unique_ptr<counts> m_counts;
};

} // namespace savoryrelay::state
