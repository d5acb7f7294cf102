#pragma once

#include <cstdint>
#include <map>
#include <metrics/latency_histogram.h>
#include <metrics/reason_counters.h>
#include <string>
#include <string_view>

namespace chivewharf::metrics {

/// Owns the metrics of a process. The returned references stay valid for the lifetime of the
/// registry. Names follow the Prometheus conventions and start with `chivewharf_`.
class registry {
public:
    /// Counter with the given name and labels, created on first use.
    /// \param labels Prometheus label pairs without braces, for example `peer="a"`; may be empty
    std::uint64_t& counter(std::string_view name, std::string_view labels = {});

    /// Gauge with the given name and labels, created on first use.
    double& gauge(std::string_view name, std::string_view labels = {});

    /// Histogram with the given name and labels, created on first use.
    latency_histogram& histogram(std::string_view name, std::string_view labels = {});

    /// Family of counters, one for each reason, distinguished by the label `reason`.
    reason_counters& reasons(std::string_view name);

    /// All metrics in the Prometheus text format. Reasons that have not occurred are written as 0,
    /// so that a rate can be computed from the first occurrence on.
    std::string prometheus_text() const;

private:
    template <class T>
    using family = std::map<std::string, std::map<std::string, T>>;

    family<std::uint64_t> counters_;
    family<double> gauges_;
    family<latency_histogram> histograms_;
    std::map<std::string, reason_counters> reasons_;
};

} // namespace chivewharf::metrics
