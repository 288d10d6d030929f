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

// The invariants that a run violated, as messages for the user. Empty if all held.
class Verdict {
public:
    void require(bool holds, std::string message)
    {
        if (!holds)
            violations_.push_back(std::move(message));
    }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    std::vector<std::string> violations_;
};

// The environment of a scenario. Its rows are printed after the run, even if an invariant was violated.
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

// Flows and requests from end to end, with faults between the fabric and the balancers.
Result<Verdict> runPathScenario(const ScenarioContext&);
// Configuration versions during races, lost answers, outages, restores, restarts and cuts.
Result<Verdict> runConfigurationScenario(const ScenarioContext&);
// Flows during planned changes and failures.
Result<Verdict> runFlowsScenario(const ScenarioContext&);
// Keyed requests, which must run at most once, during planned changes and failures, with retries at other balancers.
Result<Verdict> runRequestsScenario(const ScenarioContext&);

}
