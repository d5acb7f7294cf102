#pragma once

/// Module metrics: counters, gauges and latency histograms, and their Prometheus text format.
///
/// Purpose: every refusal, failure and retry reason has a counter; each wait has a histogram.
/// Depends on: base, Boost.Histogram.
/// Performs no I/O; module `runtime` serves the text.

#include <metrics/latency_histogram.h>
#include <metrics/reason_counters.h>
#include <metrics/registry.h>
