#include <metrics/metrics.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chivewharf::metrics {
namespace {

using testing::HasSubstr;

// Guards against a missed first occurrence of a reason: Prometheus computes no rate if the series
// did not exist before.
TEST(registry, writes_every_reason_from_the_start)
{
    registry metrics;
    metrics.reasons("chivewharf_refusals_total").add(reason::queue_full, 2);
    const auto text = metrics.prometheus_text();
    EXPECT_THAT(text, HasSubstr("chivewharf_refusals_total{reason=\"queue_full\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("chivewharf_refusals_total{reason=\"owner_gone\"} 0\n"));
}

// Guards against a histogram whose buckets are not cumulative, which Prometheus rejects.
TEST(latency_histogram, buckets_are_cumulative_and_end_at_the_count)
{
    latency_histogram h;
    h.observe(milliseconds{1});
    h.observe(milliseconds{100});
    h.observe(seconds{1000});
    std::string text;
    h.write(text, "wait_seconds", "");
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{le=\"0.01\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{le=\"100\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("wait_seconds_bucket{le=\"+Inf\"} 3\n"));
    EXPECT_NEAR(h.quantile(0.5), 0.1, 0.03);
}

} // namespace
} // namespace chivewharf::metrics
