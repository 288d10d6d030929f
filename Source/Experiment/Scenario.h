#pragma once

#include "Experiment/EventLoop.h"
#include "Experiment/ExperimentOptions.h"
#include "Experiment/ResultRows.h"
#include "Experiment/RunDirectory.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// The invariants that a run broke, in words for people. None: all held.
class Verdict {
public:
    void require(bool holds, std::string sentence)
    {
        if (!holds)
            violations_.push_back(std::move(sentence));
    }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    std::vector<std::string> violations_;
};

// What a scenario works with. Its rows are printed in the end, also when an invariant was broken.
struct ScenarioContext {
    const ExperimentOptions& options;
    EventLoop& loop;
    const RunDirectory& directory;
    ResultRows& rows;
};

struct Scenario {
    std::string_view name;
    std::string_view summary;
    // Fails when the run could not be carried out.
    Result<Verdict> (*run)(const ScenarioContext&);
};

std::span<const Scenario> allScenarios();
const Scenario* findScenario(std::string_view name);

// One flow and one request from end to end, and the path's own faults.
Result<Verdict> runPathScenario(const ScenarioContext&);
// Versions of the configuration through races, lost answers, outages, restores, restarts and cuts.
Result<Verdict> runConfigurationScenario(const ScenarioContext&);
// Flows through planned changes and failures.
Result<Verdict> runFlowsScenario(const ScenarioContext&);
// Keyed requests that must not run twice, through the same, with retries elsewhere.
Result<Verdict> runRequestsScenario(const ScenarioContext&);

}
