#pragma once

#include "Experiment/ConfigurationApply.h"
#include "Experiment/ConfigurationChecker.h"
#include "Experiment/ConfigurationSchedule.h"
#include "Experiment/ConfigurationWatcher.h"
#include "Experiment/ControlPlaneMeter.h"
#include "Experiment/Deployment.h"
#include "Experiment/Scenario.h"

#include "Core/Log.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

// One run of the scenario "configuration": starts applies, injects faults and collects the results.
class ConfigurationRun {
public:
    // All arguments must outlive this object.
    ConfigurationRun(const ScenarioContext&, Deployment&, ControlPlaneMeter&);

    Result<void> drive();
    Verdict check();

private:
    using Condition = std::function<bool()>;

    Result<void> perform(const ConfigurationStep&);
    Result<void> loseAnswers(const ConfigurationStep&);
    Result<void> restoreOlderSnapshot(const ConfigurationStep&);
    Result<void> beginFault(const ConfigurationStep&);
    Result<void> endFault(const ConfigurationStep&);

    // Starts one apply, or two concurrent ones with the same base version.
    Result<void> startApplies(bool races);
    Result<void> startApply(bool setsBaseVersion);
    // Runs until every apply was accepted or refused.
    Result<void> finishApplies(const ConfigurationStep&);
    Result<void> pollApplies(const ConfigurationStep&);
    void countRace();
    void recordAccepted(const ConfigurationApply&);
    Result<void> restartBalancer(const ConfigurationStep&);
    // Runs until the newest version is in force everywhere, or until it is late.
    Result<void> waitUntilInForce();

    // Polls the balancers and takes samples until the condition holds or the end is reached.
    Result<void> monitor(TimePoint end, const Condition& condition);
    Result<void> monitor(Duration length);

    const ScenarioContext& context_;
    Deployment& deployment_;
    ControlPlaneMeter& control_;
    AdminClient client_;
    ConfigurationChecker checker_;
    ConfigurationWatcher watcher_;
    ConfigurationSchedule schedule_;
    Log log_ { "experiment" };

    std::vector<std::unique_ptr<ConfigurationApply>> applies_;
    // The last accepted configuration and its version.
    Configuration configuration_;
    std::uint64_t version_ = 1;
    bool restartIsDue_ = false;
    bool stepsBegan_ = false;
    TimePoint nextSample_;
    TimePoint begin_;
    TimePoint end_;
    PlatformControl::Counters countersBefore_;
    double platformCallsPerSecond_ = 0;

    std::uint64_t sent_ = 0;
    std::uint64_t acceptedCount_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t lostOutcomes_ = 0;
    std::uint64_t races_ = 0;
    // Races without exactly one winner, or whose loser was not told which apply won.
    std::uint64_t unfairRaces_ = 0;
    // Applies that were refused although no other apply was running.
    std::uint64_t refusedAlone_ = 0;
    std::uint64_t faults_ = 0;
    std::uint64_t restarts_ = 0;
};

}
