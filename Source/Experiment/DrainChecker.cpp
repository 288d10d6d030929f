#include "Experiment/DrainChecker.h"

#include <algorithm>

namespace wisteriadock {

void DrainChecker::drainAccepted(const std::string& server, TimePoint at) { absences_[server].push_back({ at }); }

void DrainChecker::returnStarted(const std::string& server, TimePoint at)
{
    const auto found = absences_.find(server);
    if (found != absences_.end() && !found->second.empty())
        found->second.back().end = std::min(found->second.back().end, at);
}

std::uint64_t DrainChecker::lateNewFlows(const std::string& server, const std::vector<TimePoint>& firstSeen) const
{
    const auto found = absences_.find(server);
    if (found == absences_.end())
        return 0;
    const auto isLate = [&](TimePoint seen) {
        return std::any_of(found->second.begin(), found->second.end(),
            [&](const Absence& absence) { return seen >= absence.begin + grace && seen < absence.end; });
    };
    return static_cast<std::uint64_t>(std::count_if(firstSeen.begin(), firstSeen.end(), isLate));
}

std::size_t DrainChecker::checkedDrains(TimePoint end) const
{
    std::size_t count = 0;
    for (const auto& [server, absences] : absences_) {
        count += static_cast<std::size_t>(std::count_if(absences.begin(), absences.end(),
            [&](const Absence& absence) { return absence.begin + grace < std::min(end, absence.end); }));
    }
    return count;
}

}
