#include "MetricsText/MetricsText.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <string>
#include <vector>

namespace {

prometheus::MetricType typeOf(WisteriadockMetricKind kind)
{
    switch (kind) {
    case WisteriadockCounter:
        return prometheus::MetricType::Counter;
    case WisteriadockGauge:
        return prometheus::MetricType::Gauge;
    case WisteriadockHistogram:
        return prometheus::MetricType::Histogram;
    }
    return prometheus::MetricType::Untyped;
}

prometheus::ClientMetric::Histogram histogramOf(const WisteriadockMetricSample& sample)
{
    prometheus::ClientMetric::Histogram histogram;
    histogram.sample_sum = sample.value;
    for (std::size_t i = 0; i <= sample.boundCount; ++i) {
        histogram.sample_count += sample.bucketCounts[i];
        const double bound = i < sample.boundCount ? sample.bounds[i] : std::numeric_limits<double>::infinity();
        histogram.bucket.push_back({ histogram.sample_count, bound });
    }
    return histogram;
}

prometheus::ClientMetric metricOf(const WisteriadockMetricSample& sample)
{
    prometheus::ClientMetric metric;
    for (std::size_t i = 0; i < sample.labelCount; ++i)
        metric.label.push_back({ sample.labels[i].name, sample.labels[i].value });
    if (sample.kind == WisteriadockCounter)
        metric.counter.value = sample.value;
    else if (sample.kind == WisteriadockGauge)
        metric.gauge.value = sample.value;
    else
        metric.histogram = histogramOf(sample);
    return metric;
}

}

extern "C" __attribute__((visibility("default"))) void wisteriadockWriteMetrics(
    const WisteriadockMetricSample* samples, std::size_t count, WisteriadockMetricsSink sink, void* target)
{
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < count; ++i) {
        const WisteriadockMetricSample& sample = samples[i];
        if (families.empty() || families.back().name != sample.name)
            families.push_back({ sample.name, sample.help, typeOf(sample.kind), {} });
        families.back().metric.push_back(metricOf(sample));
    }
    const std::string text = prometheus::TextSerializer().Serialize(families);
    sink(target, text.data(), text.size());
}
