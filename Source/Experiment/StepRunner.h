#pragma once

#include "Core/Log.h"
#include "Experiment/Deployment.h"
#include "Experiment/DrainChecker.h"
#include "Experiment/Schedule.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wisteriadock {

// Executes the steps of a schedule when they are due, and ends them after their length. Used by the scenarios "flows"
// and "requests".
class StepRunner {
public:
    // The deployment must outlive this object.
    StepRunner(Deployment&, std::vector<Step>, TimePoint begin);

    // Begins and ends the steps that are due. Must be called frequently.
    Result<void> poll();
    // Ends all steps that are still in progress.
    Result<void> endAll();

    bool began() const { return next_ > 0; }
    std::uint64_t plannedChanges() const { return plannedChanges_; }
    std::uint64_t failures() const { return failures_; }
    const DrainChecker& drainChecker() const { return drainChecker_; }
    // The weights of the active servers by name, as requested by the operator so far.
    const std::map<std::string, std::uint32_t>& activeServers() const { return active_; }
    // The name of the last step that was due by this time, or "none".
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
    DrainChecker drainChecker_;
    std::map<std::string, std::uint32_t> active_;
    std::uint64_t plannedChanges_ = 0;
    std::uint64_t failures_ = 0;
    Log log_ { "experiment" };
};

}
