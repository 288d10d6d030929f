#include "Forwarder/TrafficReport.h"

#include <string>

namespace wisteriadock {

void TrafficReport::write(const std::vector<TrafficRow>& rows, const ResourceUsage& usage, TimePoint now)
{
    nextAt_ = now + period;
    Event event;
    event.add("seconds", std::chrono::duration<double>(now - startedAt_).count())
        .add("cpu_ms", Duration(usage.processorTime))
        .add("heap_kb", usage.heapKilobytes);
    for (const TrafficRow& row : rows) {
        const std::string cause(row.cause);
        event.add(cause + "_messages", row.messages)
            .add(cause + "_sent_bytes", row.sentBytes)
            .add(cause + "_received_bytes", row.receivedBytes);
    }
    log_.write(LogLevel::Info, "process", "traffic", event, now);
}

}
