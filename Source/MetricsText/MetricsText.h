#pragma once

#include <cstddef>
#include <cstdint>

// The C interface between the forwarder and the module that formats its metrics. The module is a separate shared
// library because it alone needs the shared libraries of prometheus-cpp and C++. Loading them would delay the start,
// while callers wait, so ForwarderMetrics loads the module when the metrics are first read.
extern "C" {

enum WisteriadockMetricKind : std::uint32_t { WisteriadockCounter, WisteriadockGauge, WisteriadockHistogram };

struct WisteriadockMetricLabel {
    const char* name;
    const char* value;
};

// One value of a metric. The samples of one metric must be adjacent. Pointers need to be valid during the call only.
struct WisteriadockMetricSample {
    WisteriadockMetricKind kind;
    const char* name;
    const char* help;
    const WisteriadockMetricLabel* labels;
    std::size_t labelCount;
    // The value of a counter or gauge, or the sum of the observations of a histogram.
    double value;
    // Of a histogram only: the upper bounds of its buckets, and the number of observations in each bucket (not
    // cumulative). bucketCounts has boundCount + 1 entries; the last counts the observations above all bounds.
    const double* bounds;
    const std::uint64_t* bucketCounts;
    std::size_t boundCount;
};

// Receives the text. target is passed on from WisteriadockWriteMetrics.
typedef void (*WisteriadockMetricsSink)(void* target, const char* text, std::size_t bytes);

// Writes the samples in the Prometheus text format. The module exports this function as metricsTextFunction.
typedef void (*WisteriadockWriteMetrics)(
    const WisteriadockMetricSample* samples, std::size_t count, WisteriadockMetricsSink sink, void* target);
}

namespace wisteriadock {

inline constexpr const char* metricsTextModule = "libwisteriadock-metrics-text.so";
inline constexpr const char* metricsTextFunction = "wisteriadockWriteMetrics";

}
