#pragma once

/// Module metrics: counters and latency histograms and their Prometheus text.
///
/// Purpose: every refusal, failure and retry reason has a counter; each wait has a histogram.
/// Depends on: base, Boost.Histogram.
/// Does no input or output; `runtime` serves the text.

#include <metrics/latency_histogram.h>
#include <metrics/reason_counters.h>
#include <metrics/registry.h>
