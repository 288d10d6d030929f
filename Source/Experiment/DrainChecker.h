#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// Counts new flows that reached a backend server after it had been draining for longer than the grace time.
class DrainChecker {
public:
    // Time for a drain to reach every balancer, starting when the platform accepted the configuration.
    static constexpr std::chrono::seconds grace { 5 };

    void drainAccepted(const std::string& server, TimePoint);
    // The server may receive new flows from this time on, even before the configuration is accepted.
    void undrainRequested(const std::string& server, TimePoint);

    // Number of flows that began after the grace time of a drain. Takes the arrival times of the first packets of the
    // server's flows.
    std::uint64_t lateNewFlows(const std::string& server, const std::vector<TimePoint>& firstSeen) const;
    // Number of drains that lasted longer than the grace time, up to the given end of the run.
    std::size_t checkedDrains(TimePoint end) const;

private:
    struct DrainPeriod {
        TimePoint begin;
        TimePoint end = TimePoint::max();
    };

    std::map<std::string, std::vector<DrainPeriod>> drains_;
};

}
