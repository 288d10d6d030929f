#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/BalancerFleet.h"
#include "Experiment/ConfigurationChecker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wisteriadock {

// Polls every running balancer for the version that it has in force, bypassing the fault proxy, and reads its
// configuration whenever the version changed. Passes this to the checker, together with starts and ends of processes
// and cuts of zones.
class ConfigurationWatcher {
public:
    // All arguments must outlive this object.
    ConfigurationWatcher(AdminClient& client, BalancerFleet& balancers, ConfigurationChecker& checker)
        : client_(client)
        , balancers_(balancers)
        , checker_(checker)
    {
    }

    // Polls all balancers if the polling interval has passed.
    void poll();
    // Only detects processes that started or ended. Must be called right after starting or killing one.
    void updateProcesses();
    void cutBegan(std::size_t zone);
    void cutEnded(std::size_t zone);

    std::uint64_t answers() const { return answers_; }
    // Calls that a running balancer did not answer.
    std::uint64_t failedCalls() const { return failedCalls_; }

private:
    struct WatchedBalancer {
        std::size_t zone = 0;
        std::uint64_t versionRead = 0;
    };

    void pollBalancer(const RunningBalancer&, WatchedBalancer&);
    void readConfiguration(const RunningBalancer&, WatchedBalancer&);

    AdminClient& client_;
    BalancerFleet& balancers_;
    ConfigurationChecker& checker_;
    std::map<std::string, WatchedBalancer> watched_;
    std::set<std::size_t> cutZones_;
    TimePoint next_;
    std::uint64_t answers_ = 0;
    std::uint64_t failedCalls_ = 0;
};

}
