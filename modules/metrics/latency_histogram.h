#pragma once

#include <base/time.h>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chivewharf::metrics {

/// Histogram of durations from 0.1 ms to 100 s with ten logarithmic buckets per decade, based on
/// Boost.Histogram. Not thread-safe: use it only on the event loop.
class latency_histogram {
public:
    latency_histogram();

    /// Adds one observation. Negative durations count as zero.
    void observe(duration d);

    std::uint64_t count() const noexcept { return count_; }

    /// Upper bound of the bucket that contains the quantile, in seconds; 0 without observations.
    /// \param q quantile in [0, 1]
    double quantile(double q) const;

    /// Appends the buckets, sum and count in the Prometheus text format, with two buckets per
    /// decade.
    void write(std::string& out, std::string_view name, std::string_view labels) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<double>>
        histogram_;
    std::uint64_t count_ = 0;
    double sum_seconds_ = 0;
};

} // namespace chivewharf::metrics
