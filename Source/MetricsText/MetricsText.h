#pragma once

#include <cstddef>
#include <cstdint>

// What the forwarder hands to the module that writes its metrics out. The module is a shared library of its own, with a
// C interface: it alone needs prometheus-cpp, which Debian has only as a shared library, and with it the shared C++
// library. Loading those takes 0.8 ms of processor time at each start, which a VM with 0.055 of a core needs 15 ms for
// while callers wait; so they are loaded when somebody first asks for the metrics.
extern "C" {

enum WisteriadockMetricKind : std::uint32_t { WisteriadockCounter, WisteriadockGauge, WisteriadockHistogram };

struct WisteriadockMetricLabel {
    const char* name;
    const char* value;
};

// One value of a metric. Values of one metric follow each other.
struct WisteriadockMetricSample {
    WisteriadockMetricKind kind;
    const char* name;
    const char* help;
    const WisteriadockMetricLabel* labels;
    std::size_t labelCount;
    // Of a counter or gauge; of a histogram, the sum of what was observed.
    double value;
    // Of a histogram: the upper bounds of its buckets, and how many observations each bucket holds, one more than
    // bounds for those above the last.
    const double* bounds;
    const std::uint64_t* bucketCounts;
    std::size_t boundCount;
};

// Takes the text that was written.
typedef void (*WisteriadockMetricsSink)(void* target, const char* text, std::size_t bytes);

// Writes the samples in Prometheus' text format. The module exports it under metricsTextFunction.
typedef void (*WisteriadockWriteMetrics)(
    const WisteriadockMetricSample* samples, std::size_t count, WisteriadockMetricsSink sink, void* target);
}

namespace wisteriadock {

inline constexpr const char* metricsTextModule = "libwisteriadock-metrics-text.so";
inline constexpr const char* metricsTextFunction = "wisteriadockWriteMetrics";

}
