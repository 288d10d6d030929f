#pragma once

#include "Core/Log.h"
#include "Experiment/Deployment.h"
#include "Experiment/DrainChecker.h"
#include "Experiment/Schedule.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wisteriadock {

// Carries out the steps of a schedule when they are due, and ends them after their length.
class StepRunner {
public:
    // The deployment outlives the runner.
    StepRunner(Deployment&, std::vector<Step>, TimePoint begin);

    // Does what is due. Call it often.
    Result<void> poll();
    // Ends whatever still goes on.
    Result<void> endAll();

    bool began() const { return next_ > 0; }
    std::uint64_t plannedChanges() const { return plannedChanges_; }
    std::uint64_t failures() const { return failures_; }
    const DrainChecker& drains() const { return drains_; }
    // The servers that take new work as far as the operator has said so, with their weights.
    const std::map<std::string, std::uint32_t>& activeServers() const { return active_; }
    // The kind of the last step that began before this time, or "none".
    std::string_view lastStepBefore(TimePoint) const;

private:
    Result<void> begin(const Step&);
    Result<void> end(const Step&);
    void setServerState(const Step&, BackendServerState);
    void changeWeight(const Step&);
    void addServer(const Step&);
    Result<void> cutOneWay(const Step&, const FaultSettings&);
    const std::string& serverName(const Step& step) const { return deployment_.plan().servers[step.subject].name; }

    struct Ending {
        TimePoint at;
        Step step;
    };

    Deployment& deployment_;
    std::vector<Step> steps_;
    TimePoint begin_;
    std::size_t next_ = 0;
    std::vector<Ending> endings_;
    DrainChecker drains_;
    std::map<std::string, std::uint32_t> active_;
    std::uint64_t plannedChanges_ = 0;
    std::uint64_t failures_ = 0;
    Log log_ { "experiment" };
};

}
