#pragma once

#include "Core/EventLog.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriadock {

// Bytes and messages of one cause since the process started. Connections count their bytes of both ways as sent.
struct TrafficRow {
    std::string_view cause;
    std::uint64_t messages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

// Tells by cause what the forwarder sends and takes: one log line in ten seconds, and one at the end of a planned
// stop. Without it nobody sees why one forwarder of a fleet sends more than the others.
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
    void write(const std::vector<TrafficRow>&, TimePoint now);

private:
    EventLog& log_;
    const TimePoint startedAt_;
    TimePoint nextAt_;
};

}
