#include <metrics/latency_histogram.h>

#include <algorithm>
#include <boost/histogram/make_histogram.hpp>
#include <cstdio>

namespace chivewharf::metrics {

namespace {

constexpr int bucket_count = 60;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 100.0;

std::string label_set(std::string_view labels, std::string_view le)
{
    std::string text{"{"};
    text += labels;
    if (!labels.empty())
        text += ',';
    text += "le=\"";
    text += le;
    text += "\"}";
    return text;
}

std::string format_number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

} // namespace

latency_histogram::latency_histogram()
    : histogram_{boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<double>{}, axis{bucket_count, min_seconds, max_seconds})}
{
}

void latency_histogram::observe(duration d)
{
    const double value = std::max(0.0, to_seconds(d));
    histogram_(value);
    ++count_;
    sum_seconds_ += value;
}

double latency_histogram::quantile(double q) const
{
    if (count_ == 0)
        return 0;
    const double target = q * static_cast<double>(count_);
    double cumulative = histogram_.at(-1);
    if (cumulative >= target)
        return min_seconds;
    for (int i = 0; i < bucket_count; ++i) {
        cumulative += histogram_.at(i);
        if (cumulative >= target)
            return histogram_.axis().bin(i).upper();
    }
    return max_seconds;
}

void latency_histogram::write(std::string& out, std::string_view name,
                              std::string_view labels) const
{
    const std::string prefix{name};
    double cumulative = histogram_.at(-1);
    for (int i = 0; i < bucket_count; ++i) {
        cumulative += histogram_.at(i);
        if (i % 5 != 4)
            continue;
        out += prefix + "_bucket" +
               label_set(labels, format_number(histogram_.axis().bin(i).upper())) + ' ' +
               format_number(cumulative) + '\n';
    }
    const std::string braces = labels.empty() ? "" : '{' + std::string{labels} + '}';
    out += prefix + "_bucket" + label_set(labels, "+Inf") + ' ' + std::to_string(count_) + '\n';
    out += prefix + "_sum" + braces + ' ' + format_number(sum_seconds_) + '\n';
    out += prefix + "_count" + braces + ' ' + std::to_string(count_) + '\n';
}

} // namespace chivewharf::metrics
