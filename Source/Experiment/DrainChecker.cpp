#include "Experiment/DrainChecker.h"

#include <algorithm>

namespace wisteriadock {

void DrainChecker::drainAccepted(const std::string& server, TimePoint at) { drains_[server].push_back({ at }); }

void DrainChecker::undrainRequested(const std::string& server, TimePoint at)
{
    const auto found = drains_.find(server);
    if (found != drains_.end() && !found->second.empty())
        found->second.back().end = std::min(found->second.back().end, at);
}

std::uint64_t DrainChecker::lateNewFlows(const std::string& server, const std::vector<TimePoint>& firstSeen) const
{
    const auto found = drains_.find(server);
    if (found == drains_.end())
        return 0;
    const auto isLate = [&](TimePoint seen) {
        return std::any_of(found->second.begin(), found->second.end(),
            [&](const DrainPeriod& drain) { return seen >= drain.begin + grace && seen < drain.end; });
    };
    return static_cast<std::uint64_t>(std::count_if(firstSeen.begin(), firstSeen.end(), isLate));
}

std::size_t DrainChecker::checkedDrains(TimePoint end) const
{
    std::size_t count = 0;
    for (const auto& [server, drains] : drains_) {
        count += static_cast<std::size_t>(std::count_if(drains.begin(), drains.end(),
            [&](const DrainPeriod& drain) { return drain.begin + grace < std::min(end, drain.end); }));
    }
    return count;
}

}
