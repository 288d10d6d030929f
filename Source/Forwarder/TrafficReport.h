#pragma once

#include "Core/EventLog.h"
#include "Core/ResourceUsage.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Messages and bytes of one cause since the process started. Bytes of TCP connections, in both directions, count
// as sent.
struct TrafficRow {
    std::string_view cause;
    std::uint64_t messages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

// Logs what the forwarder sends and receives, by cause, and what it uses, so that operators see why one forwarder of a
// fleet costs more than others. Forwarder calls it once per period and at the end of a planned stop.
class TrafficReport {
public:
    static constexpr std::chrono::seconds period { 10 };

    TrafficReport(EventLog& log, TimePoint startedAt)
        : log_(log)
        , startedAt_(startedAt)
        , nextAt_(startedAt + period)
    {
    }

    bool isDue(TimePoint now) const { return now >= nextAt_; }
    void write(const std::vector<TrafficRow>&, const ResourceUsage&, TimePoint now);

private:
    EventLog& log_;
    const TimePoint startedAt_;
    TimePoint nextAt_;
};

}
