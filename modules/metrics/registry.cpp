#include <metrics/registry.h>

#include <cstdio>

namespace chivewharf::metrics {

namespace {

void write_type(std::string& out, const std::string& name, std::string_view type)
{
    out += "# TYPE " + name + ' ';
    out += type;
    out += '\n';
}

void write_sample(std::string& out, const std::string& name, const std::string& labels,
                  const std::string& value)
{
    out += name;
    if (!labels.empty())
        out += '{' + labels + '}';
    out += ' ' + value + '\n';
}

std::string format_number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

} // namespace

std::uint64_t& registry::counter(std::string_view name, std::string_view labels)
{
    return counters_[std::string{name}][std::string{labels}];
}

double& registry::gauge(std::string_view name, std::string_view labels)
{
    return gauges_[std::string{name}][std::string{labels}];
}

latency_histogram& registry::histogram(std::string_view name, std::string_view labels)
{
    return histograms_[std::string{name}][std::string{labels}];
}

reason_counters& registry::reasons(std::string_view name)
{
    return reasons_[std::string{name}];
}

std::string registry::prometheus_text() const
{
    std::string out;
    for (const auto& [name, samples] : counters_) {
        write_type(out, name, "counter");
        for (const auto& [labels, value] : samples)
            write_sample(out, name, labels, std::to_string(value));
    }
    for (const auto& [name, counts] : reasons_) {
        write_type(out, name, "counter");
        for (std::size_t i = 1; i < enum_count<reason>; ++i) {
            const auto code = static_cast<reason>(i);
            const std::string labels = "reason=\"" + std::string{to_name(code)} + '"';
            write_sample(out, name, labels, std::to_string(counts.get(code)));
        }
    }
    for (const auto& [name, samples] : gauges_) {
        write_type(out, name, "gauge");
        for (const auto& [labels, value] : samples)
            write_sample(out, name, labels, format_number(value));
    }
    for (const auto& [name, samples] : histograms_) {
        write_type(out, name, "histogram");
        for (const auto& [labels, value] : samples)
            value.write(out, name, labels);
    }
    return out;
}

} // namespace chivewharf::metrics
