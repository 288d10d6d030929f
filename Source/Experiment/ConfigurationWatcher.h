#pragma once

#include "Experiment/AdminClient.h"
#include "Experiment/BalancerFleet.h"
#include "Experiment/ConfigurationChecker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wisteriadock {

// Asks every balancer that runs, past the fault proxy, which version it has in force, and reads the whole configuration
// whenever that changed. Tells the judge, also of processes that began and ended and of zones that are cut off.
class ConfigurationWatcher {
public:
    // All outlive this object.
    ConfigurationWatcher(AdminClient& client, BalancerFleet& balancers, ConfigurationChecker& checker)
        : client_(client)
        , balancers_(balancers)
        , checker_(checker)
    {
    }

    // Asks all of them, if it is time to.
    void poll();
    // Looks only for processes that began or ended. Call it right after starting or killing some.
    void updateProcesses();
    void cutBegan(std::size_t zone);
    void cutEnded(std::size_t zone);

    std::uint64_t answers() const { return answers_; }
    // Calls that got no answer from a balancer that should run.
    std::uint64_t failedCalls() const { return failedCalls_; }

private:
    struct Watched {
        std::size_t zone = 0;
        std::uint64_t versionRead = 0;
    };

    void ask(const RunningBalancer&, Watched&);
    void readConfiguration(const RunningBalancer&, Watched&);

    AdminClient& client_;
    BalancerFleet& balancers_;
    ConfigurationChecker& checker_;
    std::map<std::string, Watched> watched_;
    std::set<std::size_t> cutZones_;
    TimePoint next_;
    std::uint64_t answers_ = 0;
    std::uint64_t failedCalls_ = 0;
};

}
