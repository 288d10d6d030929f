#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriadock {

// Counts new flows that reached a backend server although it had been leaving for longer than the grace time.
class DrainChecker {
public:
    // Time for a drain to reach every balancer, counted from the platform's word that the file was accepted.
    static constexpr std::chrono::seconds grace { 5 };

    void drainAccepted(const std::string& server, TimePoint);
    // From here on the server may get new flows again, whether or not the file is accepted yet.
    void returnStarted(const std::string& server, TimePoint);

    // The times are those at which the server saw each of its flows first.
    std::uint64_t lateNewFlows(const std::string& server, const std::vector<TimePoint>& firstSeen) const;
    // Drains that lasted longer than the grace time until the given end of the run.
    std::size_t checkedDrains(TimePoint end) const;

private:
    struct Absence {
        TimePoint begin;
        TimePoint end = TimePoint::max();
    };

    std::map<std::string, std::vector<Absence>> absences_;
};

}
